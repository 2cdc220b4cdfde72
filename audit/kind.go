package audit

import "github.com/parsleystack/parsleystack/cell"

// Kind is the type of change that an entry records.
type Kind string

// Kinds of entries of the configuration stream.
const (
	ConfigAccepted    Kind = "config-accepted"
	ConfigRejected    Kind = "config-void"
	ConfigRecorded    Kind = "config-recorded" // covered by a snapshot; whether the change took effect is no longer known
	ConfigUndecodable Kind = "config-undecodable"
	ConfigSnapshot    Kind = "config-snapshot"
)

// Kinds of entries of operator commands.
const (
	DrainRequested Kind = "drain-ordered"
	LossConfirmed  Kind = "loss-confirmed"
)

// Kinds of entries of a cell's stream.
const (
	Leader    Kind = "leader"
	Deputy    Kind = "deputy"
	Granted   Kind = "granted"
	Revoked   Kind = "revoked"
	Joined    Kind = "joined"
	Lost      Kind = "lost"
	Rejected  Kind = "void"
	Split     Kind = "split"
	Merged    Kind = "merged"
	Recovered Kind = "recovered"
	Unknown   Kind = "unknown"
)

func cellKind(k cell.AuditKind) Kind {
	switch k {
	case cell.AuditLeader:
		return Leader
	case cell.AuditDeputy:
		return Deputy
	case cell.AuditGranted:
		return Granted
	case cell.AuditRevoked:
		return Revoked
	case cell.AuditJoined:
		return Joined
	case cell.AuditLost:
		return Lost
	case cell.AuditRejected:
		return Rejected
	case cell.AuditSplit:
		return Split
	case cell.AuditMerged:
		return Merged
	case cell.AuditRecovered:
		return Recovered
	}
	return Unknown
}

package audit

import "github.com/parsleystack/parsleystack/cell"

// Kind says what an entry records.
type Kind string

// Kinds of entries of the configuration.
const (
	ConfigAccepted    Kind = "config-accepted"
	ConfigVoid        Kind = "config-void"
	ConfigRecorded    Kind = "config-recorded" // whether it took effect can no longer be told
	ConfigUndecodable Kind = "config-undecodable"
	ConfigSnapshot    Kind = "config-snapshot"
)

// Kinds of entries of operators' orders to daemons.
const (
	DrainOrdered  Kind = "drain-ordered"
	LossConfirmed Kind = "loss-confirmed"
)

// Kinds of entries of a cell.
const (
	Leader    Kind = "leader"
	Deputy    Kind = "deputy"
	Granted   Kind = "granted"
	Revoked   Kind = "revoked"
	Joined    Kind = "joined"
	Lost      Kind = "lost"
	Void      Kind = "void"
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
		return Void
	case cell.AuditSplit:
		return Split
	case cell.AuditMerged:
		return Merged
	case cell.AuditRecovered:
		return Recovered
	}
	return Unknown
}

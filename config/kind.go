package config

// Kind is the type of a record of the stream. Readers treat an unknown kind as a
// change of its service whose body they can't decode.
type Kind uint8

const (
	// KindPublish sets the configuration of a service. Its body is a service.Spec.
	KindPublish Kind = 1
	// KindRetire retires a service. Its body is empty.
	KindRetire Kind = 2
	// KindSnapshot holds the state up to an offset. Its body is a Snapshot.
	KindSnapshot Kind = 3
	// KindReset replaces the whole state after records have expired without
	// being covered by a snapshot. Its body is a Snapshot with the new entries.
	KindReset Kind = 4
)

// String returns the name that the audit trail uses.
func (k Kind) String() string {
	switch k {
	case KindPublish:
		return "publish"
	case KindRetire:
		return "retire"
	case KindSnapshot:
		return "snapshot"
	case KindReset:
		return "reset"
	}
	return "unknown kind"
}

package config

// Kind tells the records of the stream apart. Readers treat an unknown kind as
// a change of its service with content that they do not understand.
type Kind uint8

const (
	// KindPublish sets the configuration of a service. Its body is a Spec.
	KindPublish Kind = 1
	// KindRetire takes a service out of force. Its body is empty.
	KindRetire Kind = 2
	// KindSnapshot repeats the state up to an offset. Its body is a Snapshot.
	KindSnapshot Kind = 3
	// KindReset replaces the state after records were lost. Its body is a
	// Snapshot whose entries become the state.
	KindReset Kind = 4
)

// String returns the name used in the audit trail.
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

package cell

// Message is a message between members of a cell. A Message is a tagged union:
// exactly one of its fields is set. The zero Message is invalid.
type Message struct {
	// The message types are added by the files message_*.go.
	Kind MessageKind
	Body []byte
}

// MessageKind tells the message types apart on the wire.
type MessageKind uint8

// Record is a record of the cell's stream.
type Record struct {
	Kind RecordKind
	Body []byte
}

// RecordKind tells the record types apart in the stream.
type RecordKind uint8

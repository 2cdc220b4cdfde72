package cell

const (
	// Version is the newest version of messages and records that this package
	// supports.
	Version = 1
	// MaxMessageSize is the largest encoded message, in bytes.
	MaxMessageSize = 256 << 10
	// MaxRecordSize is the largest encoded record, in bytes.
	MaxRecordSize = 512 << 10

	// recordMagic is the first byte of every record. It distinguishes foreign
	// data from records of a newer version.
	recordMagic = 0xC5
)

// AppendTo appends the encoded message to b. It panics if m is invalid.
func (m Message) AppendTo(b []byte) []byte {
	kind, body := m.body()
	if body == nil {
		panic("cell: Message without a body")
	}
	return appendBody(append(b, Version, byte(kind)), body)
}

// DecodeMessage decodes a message that AppendTo encoded. Errors are
// *DecodeError or *VersionError.
func DecodeMessage(b []byte) (Message, error) {
	if len(b) > MaxMessageSize {
		return Message{}, &DecodeError{What: "message", Reason: "larger than MaxMessageSize"}
	}
	if len(b) < 2 {
		return Message{}, &DecodeError{What: "message", Reason: "truncated"}
	}
	if b[0] > Version {
		return Message{}, &VersionError{What: "message", Got: int(b[0])}
	}
	m, body := newMessage(MessageKind(b[1]))
	if body == nil || b[0] != Version {
		return Message{}, &DecodeError{What: "message", Reason: "unknown kind or version"}
	}
	if err := decodeBody("message", body, b[2:]); err != nil {
		return Message{}, err
	}
	return m, nil
}

// AppendTo appends the encoded record to b. It panics if r is invalid.
func (r Record) AppendTo(b []byte) []byte {
	kind, body := r.body()
	if body == nil {
		panic("cell: Record without a body")
	}
	return appendBody(append(b, recordMagic, Version, byte(kind)), body)
}

// DecodeRecord decodes a record that AppendTo encoded. Errors are *DecodeError
// or *VersionError.
func DecodeRecord(b []byte) (Record, error) {
	if len(b) > MaxRecordSize {
		return Record{}, &DecodeError{What: "record", Reason: "larger than MaxRecordSize"}
	}
	if len(b) < 3 || b[0] != recordMagic {
		return Record{}, &DecodeError{What: "record", Reason: "not a record of a cell's stream"}
	}
	if b[1] > Version {
		return Record{}, &VersionError{What: "record", Got: int(b[1])}
	}
	r, body := newRecord(RecordKind(b[2]))
	if body == nil || b[1] != Version {
		return Record{}, &DecodeError{What: "record", Reason: "unknown kind or version"}
	}
	if err := decodeBody("record", body, b[3:]); err != nil {
		return Record{}, err
	}
	return r, nil
}

func appendBody(b []byte, body body) []byte {
	out, err := body.MarshalMsg(b)
	if err != nil {
		panic("cell: encoding failed: " + err.Error())
	}
	return out
}

func decodeBody(what string, body body, b []byte) error {
	rest, err := body.UnmarshalMsg(b)
	if err != nil {
		return &DecodeError{What: what, Reason: "malformed body", Cause: err}
	}
	if len(rest) != 0 {
		return &DecodeError{What: what, Reason: "trailing bytes"}
	}
	return nil
}

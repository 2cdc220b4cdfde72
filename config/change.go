package config

//msgp:limit arrays:65536 maps:16
//msgp:tuple Change
//msgp:replace platformlog.Offset with:uint64

import (
	"fmt"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/service"
)

// Schema is the newest version of the encoding of a record's body. This release
// writes it and reads all versions up to it.
const Schema = 1

// Change is a record of the stream: a header and an encoded body. The encoding
// of the header never changes, so that all releases can decode it; extensions go
// into the body under a larger Schema or a new Kind.
type Change struct {
	Kind            Kind               `msg:"k"`
	Service         ident.Service      `msg:"s"` // "" with KindSnapshot and KindReset
	ExpectedVersion platformlog.Offset `msg:"b"` // version of the service that the change expects, 0 if it expects none; with KindSnapshot and KindReset the covered offset
	Author          string             `msg:"a"`
	Nonce           uint64             `msg:"n"` // identifies the record, so that its publisher can find it in the stream
	Schema          int                `msg:"c"` // version of the encoding of Body
	Body            []byte             `msg:"d"`
}

// NewPublish returns the record that sets the configuration of a service.
func NewPublish(spec *service.Spec, expectedVersion platformlog.Offset, author string, nonce uint64) (*Change, error) {
	body, err := spec.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("config: the configuration of %s can't be encoded: %w", spec.Name, err)
	}
	return &Change{
		Kind:            KindPublish,
		Service:         spec.Name,
		ExpectedVersion: expectedVersion,
		Author:          author,
		Nonce:           nonce,
		Schema:          Schema,
		Body:            body,
	}, nil
}

// NewRetire returns the record that retires a service.
func NewRetire(svc ident.Service, expectedVersion platformlog.Offset, author string, nonce uint64) *Change {
	return &Change{
		Kind:            KindRetire,
		Service:         svc,
		ExpectedVersion: expectedVersion,
		Author:          author,
		Nonce:           nonce,
		Schema:          Schema,
	}
}

// Encode returns the payload of the record.
func (c *Change) Encode() ([]byte, error) {
	payload, err := c.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("config: a record can't be encoded: %w", err)
	}
	return payload, nil
}

// DecodeChange decodes the payload of a record. It returns an
// *UndecodableError if the payload is malformed.
func DecodeChange(payload []byte) (*Change, error) {
	c := new(Change)
	rest, err := c.UnmarshalMsg(payload)
	if err != nil {
		return nil, &UndecodableError{Cause: err}
	}
	if len(rest) != 0 {
		return nil, &UndecodableError{Cause: fmt.Errorf("%d bytes follow the record", len(rest))}
	}
	if c.isServiceChange() == (c.Service == "") {
		return nil, &UndecodableError{Cause: fmt.Errorf("%v with service %q", c.Kind, c.Service)}
	}
	return c, nil
}

// isServiceChange reports whether c changes one service.
func (c *Change) isServiceChange() bool { return c.Kind != KindSnapshot && c.Kind != KindReset }

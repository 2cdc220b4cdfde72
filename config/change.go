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

// Schema is the newest form of a record's body that this version writes and
// understands.
const Schema = 1

// Change is the envelope of every record of the stream. Its form never
// changes; what is new goes into the body under a larger Schema or Kind.
type Change struct {
	Kind            Kind               `msg:"k"`
	Service         ident.Service      `msg:"s"` // "" with KindSnapshot and KindReset
	ExpectedVersion platformlog.Offset `msg:"b"` // version of the service that the change is based on; 0 if there is none
	Author          string             `msg:"a"`
	Nonce           uint64             `msg:"n"` // names the record, so that its publisher finds it
	Schema          int                `msg:"c"` // form of Body
	Body            []byte             `msg:"d"`
}

// NewPublish returns the record that sets the configuration of a service.
func NewPublish(spec *service.Spec, base platformlog.Offset, author string, nonce uint64) (*Change, error) {
	body, err := spec.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("config: the configuration of %s can't be encoded: %w", spec.Name, err)
	}
	return &Change{
		Kind:            KindPublish,
		Service:         spec.Name,
		ExpectedVersion: base,
		Author:          author,
		Nonce:           nonce,
		Schema:          Schema,
		Body:            body,
	}, nil
}

// NewRetire returns the record that takes a service out of force.
func NewRetire(svc ident.Service, base platformlog.Offset, author string, nonce uint64) *Change {
	return &Change{
		Kind:            KindRetire,
		Service:         svc,
		ExpectedVersion: base,
		Author:          author,
		Nonce:           nonce,
		Schema:          Schema,
	}
}

// Encode returns the record's payload.
func (c *Change) Encode() ([]byte, error) {
	payload, err := c.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("config: a record can't be encoded: %w", err)
	}
	return payload, nil
}

// DecodeChange decodes a record's payload.
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

package config

//msgp:limit arrays:65536 maps:16
//msgp:tuple Snapshot
//msgp:replace platformlog.Offset with:uint64

import (
	"fmt"
	"slices"
	"strings"

	"github.com/parsleystack/parsleystack/platformlog"
)

// Snapshot is the state after the record at offset Covered. Like that of a
// record's header, its encoding never changes.
type Snapshot struct {
	Covered    platformlog.Offset `msg:"c"`
	LastChange platformlog.Offset `msg:"l"` // offset of the last change or reset, whether accepted or rejected
	Entries    []Entry            `msg:"e"` // sorted by service
}

// encode returns the payload of a record of the given kind whose body is s.
func (s *Snapshot) encode(kind Kind, author string, nonce uint64) ([]byte, error) {
	body, err := s.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("config: a snapshot can't be encoded: %w", err)
	}
	c := &Change{
		Kind:            kind,
		ExpectedVersion: s.Covered,
		Author:          author,
		Nonce:           nonce,
		Schema:          Schema,
		Body:            body,
	}
	return c.Encode()
}

// decodeSnapshot decodes the body of a snapshot or reset record.
func decodeSnapshot(c *Change) (*Snapshot, error) {
	s := new(Snapshot)
	if _, err := s.UnmarshalMsg(c.Body); err != nil {
		return nil, &UndecodableError{Cause: err}
	}
	if s.Covered != c.ExpectedVersion {
		return nil, &UndecodableError{Cause: fmt.Errorf("covered offset is %d in the body but %d in the header", s.Covered, c.ExpectedVersion)}
	}
	slices.SortFunc(s.Entries, func(a, b Entry) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return s, nil
}

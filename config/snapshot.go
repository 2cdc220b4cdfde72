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

// Snapshot is the state of the stream after the record at Covered. Like the
// envelope of a record, its form never changes.
type Snapshot struct {
	Covered    platformlog.Offset `msg:"c"`
	LastChange platformlog.Offset `msg:"l"` // last record that is not a snapshot, whatever its verdict
	Entries    []Entry            `msg:"e"` // by service
}

// encode returns the payload of a record of the kind that holds s.
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

// decodeSnapshot decodes the body of a snapshot or a reset.
func decodeSnapshot(c *Change) (*Snapshot, error) {
	s := new(Snapshot)
	if _, err := s.UnmarshalMsg(c.Body); err != nil {
		return nil, &UndecodableError{Cause: err}
	}
	if s.Covered != c.ExpectedVersion {
		return nil, &UndecodableError{Cause: fmt.Errorf("covered offset %d in a record based on %d", s.Covered, c.ExpectedVersion)}
	}
	slices.SortFunc(s.Entries, func(a, b Entry) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return s, nil
}

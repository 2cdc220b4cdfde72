package sidecar

import (
	"bytes"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/wire"
)

// statementHeader carries a targetStatement between daemons: in responses what the target
// has stated, and in requests what the entry knows of it. A restarted daemon so learns at
// once what its predecessor has passed on. It is never forwarded to callers or targets.
var statementHeader = []byte("Parsley-Target-Statement")

// targetStatement is what a target has stated about itself in its responses.
type targetStatement struct {
	target       ownertable.Target
	limited      bool
	rate         float64    // requests a second that it accepts; valid if limited
	leavingSince clock.Time // when its departure was learned of; Never if it has stated none
}

// empty reports whether the target has stated nothing.
func (s *targetStatement) empty() bool { return !s.limited && s.leavingSince == clock.Never }

// Fields of an encoded targetStatement.
const (
	statementTarget    = "target"
	statementStart     = "start" // Unix milliseconds
	statementRate      = "rate"
	statementLeavingMS = "leaving_ms" // time since leavingSince
)

// encode returns the value of statementHeader.
func (s *targetStatement) encode(now clock.Time) []byte {
	v := url.Values{statementTarget: {s.target.ID}, statementStart: {strconv.FormatInt(s.target.StartTime, 10)}}
	if s.limited {
		v.Set(statementRate, strconv.FormatFloat(s.rate, 'g', -1, 64))
	}
	if s.leavingSince != clock.Never {
		v.Set(statementLeavingMS, strconv.FormatInt(now.Sub(s.leavingSince).Milliseconds(), 10))
	}
	return []byte(v.Encode())
}

// decodeStatement decodes a value of statementHeader that was encoded a moment ago.
func decodeStatement(value []byte, now clock.Time) (*targetStatement, error) {
	v, err := url.ParseQuery(string(value))
	if err != nil {
		return nil, fmt.Errorf("statement of a target: %w", err)
	}
	s := &targetStatement{target: ownertable.Target{ID: v.Get(statementTarget)}}
	if s.target.StartTime, err = strconv.ParseInt(v.Get(statementStart), 10, 64); err != nil {
		return nil, fmt.Errorf("statement of a target: start: %w", err)
	}
	if v.Has(statementRate) {
		s.limited = true
		if s.rate, err = strconv.ParseFloat(v.Get(statementRate), 64); err != nil || !(s.rate >= 0) {
			return nil, fmt.Errorf("statement of a target: rate %q", v.Get(statementRate))
		}
	}
	if v.Has(statementLeavingMS) {
		ms, err := strconv.ParseUint(v.Get(statementLeavingMS), 10, 32)
		if err != nil {
			return nil, fmt.Errorf("statement of a target: leaving: %w", err)
		}
		s.leavingSince = max(now.Add(-time.Duration(ms)*time.Millisecond), 1)
	}
	return s, nil
}

// statementField returns the value of statementHeader, or nil.
func statementField(headers []wire.Header) []byte {
	for i := range headers {
		if isStatementHeader(headers[i].Name) {
			return headers[i].Value
		}
	}
	return nil
}

// isStatementHeader reports whether a header field is statementHeader.
func isStatementHeader(name []byte) bool { return bytes.EqualFold(name, statementHeader) }

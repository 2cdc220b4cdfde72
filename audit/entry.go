// Package audit reads the audit trail from the streams of the platform's log:
// published configurations and whether they took effect, operator commands,
// the leader and deputy of each cell, and the grants of ranges with owner,
// fencing token and reason.
//
// The trail covers the retention time of the log. Assignments that a cell makes
// during a log outage appear once they are appended.
package audit

import (
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Entry is one change in the audit trail.
type Entry struct {
	Time    time.Time          `json:"time"` // append time by the log service's clock
	Stream  platformlog.Stream `json:"stream"`
	Offset  platformlog.Offset `json:"offset"`
	Kind    Kind               `json:"kind"`
	Service ident.Service      `json:"service,omitempty"`
	Node    string             `json:"node,omitempty"` // instance#incarnation
	Range   *Range             `json:"range,omitempty"`
	Token   string             `json:"token,omitempty"`
	Author  string             `json:"author,omitempty"`
	Reason  string             `json:"reason,omitempty"`
}

// Range is a range of hash positions. Only the text is written to
// JSON, since JSON numbers do not hold 64-bit positions exactly.
type Range struct {
	Text string         `json:"text"`
	At   keyspace.Range `json:"-"`
}

// Package audit reads the trail of changes from the streams of the platform's
// log: what was published, what took effect and what did not, who leads each
// cell, and which range went to whom under which token and why.
//
// The trail reaches back as far as the log keeps records. Assignments that a
// cell makes while the log is down appear once they are appended.
package audit

import (
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Entry is one change.
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

// Range is a range of hash positions in a form that JSON keeps exactly.
type Range struct {
	Text string         `json:"text"`
	At   keyspace.Range `json:"-"`
}

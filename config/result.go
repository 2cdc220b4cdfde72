package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// ResultKind says what became of one published change.
type ResultKind string

const (
	// ResultAccepted means that the change is the service's newest version.
	ResultAccepted ResultKind = "accepted"
	// ResultConflict means that another change came first and that this one has no effect.
	ResultConflict ResultKind = "lost"
	// ResultIndeterminate means that the change may be, or yet become, accepted.
	ResultIndeterminate ResultKind = "unsettled"
	// ResultFailed means that the log did not take the change.
	ResultFailed ResultKind = "failed"
	// ResultUnchanged means that there was nothing to publish.
	ResultUnchanged ResultKind = "unchanged"
)

// Result is the end of one step of a plan.
type Result struct {
	Service ident.Service      `json:"service"`
	Kind    ResultKind         `json:"result"`
	Version platformlog.Offset `json:"version,omitempty"` // with ResultAccepted
	Error   string             `json:"error,omitempty"`

	Err error `json:"-"`
}

// LostError reports a change that lost to another one.
type LostError struct {
	Service     ident.Service
	Base        platformlog.Offset
	Winner      platformlog.Offset
	Author      string
	Time        time.Time
	Retired     bool
	Differences []Difference // from the winner's configuration to the lost one
}

func (e *LostError) Error() string {
	did := "published"
	if e.Retired {
		did = "retired"
	}
	return fmt.Sprintf("config: the change of service %s is void: %s %s it at %s as version %d, and this change was based on version %d; %s; run parsley plan to see the state in force, take over what you want to keep of it, and publish again",
		e.Service, e.Author, did, e.Time.UTC().Format(time.RFC3339), e.Winner, e.Base, e.differences())
}

func (e *LostError) differences() string {
	if e.Retired {
		return "the service is no longer in force"
	}
	if len(e.Differences) == 0 {
		return "the two have the same content"
	}
	parts := make([]string, len(e.Differences))
	for i, d := range e.Differences {
		parts[i] = fmt.Sprintf("%s is %q in force and %q here", d.Field, d.Old, d.New)
	}
	return "they differ: " + strings.Join(parts, ", ")
}

// UnsettledError reports a change whose append had no known end in time.
type UnsettledError struct {
	Service ident.Service
	Base    platformlog.Offset
	Cause   error
}

func (e *UnsettledError) Error() string {
	return fmt.Sprintf("config: the change of service %s may yet be accepted: %v; run parsley plan when the log service answers: if the change shows as unchanged it was accepted; publishing again is safe, since only one change with base %d can be accepted", e.Service, e.Cause, e.Base)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }

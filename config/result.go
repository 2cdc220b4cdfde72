package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// ResultKind is the outcome of one step of a plan.
type ResultKind string

const (
	// ResultAccepted means that the change is the service's newest version.
	ResultAccepted ResultKind = "accepted"
	// ResultConflict means that another change of the service was accepted first,
	// so that this one has no effect.
	ResultConflict ResultKind = "lost"
	// ResultIndeterminate means that the outcome is indeterminate: the change may
	// have been accepted or may still be accepted later.
	ResultIndeterminate ResultKind = "unsettled"
	// ResultFailed means that the change was not appended to the log.
	ResultFailed ResultKind = "failed"
	// ResultUnchanged means that the service already has the content.
	ResultUnchanged ResultKind = "unchanged"
)

// Result is the result of one step of a plan.
type Result struct {
	Service ident.Service      `json:"service"`
	Kind    ResultKind         `json:"result"`
	Version platformlog.Offset `json:"version,omitempty"` // with ResultAccepted
	Error   string             `json:"error,omitempty"`

	Err error `json:"-"`
}

// ConflictError reports a change that has no effect because another change of the
// service was accepted first. CurrentVersion, Author and Time describe that change.
type ConflictError struct {
	Service         ident.Service
	ExpectedVersion platformlog.Offset
	CurrentVersion  platformlog.Offset
	Author          string
	Time            time.Time
	Retired         bool
	Differences     []Difference // from the accepted configuration to the rejected one
}

func (e *ConflictError) Error() string {
	verb := "published"
	if e.Retired {
		verb = "retired"
	}
	return fmt.Sprintf("config: the change of service %s was rejected: %s %s it at %s as version %d, but this change was based on version %d; %s; run parsley plan to see the state in force, merge what you want to keep of it into your file, and publish again",
		e.Service, e.Author, verb, e.Time.UTC().Format(time.RFC3339), e.CurrentVersion, e.ExpectedVersion, e.differences())
}

func (e *ConflictError) differences() string {
	if e.Retired {
		return "the service is no longer in force"
	}
	if len(e.Differences) == 0 {
		return "both have the same content"
	}
	parts := make([]string, len(e.Differences))
	for i, d := range e.Differences {
		parts[i] = fmt.Sprintf("%s is %q in force and %q here", d.Field, d.Old, d.New)
	}
	return "they differ: " + strings.Join(parts, ", ")
}

// IndeterminateError reports a change whose outcome was not determined in time. It
// may have been accepted or may still be accepted later.
type IndeterminateError struct {
	Service         ident.Service
	ExpectedVersion platformlog.Offset
	Cause           error
}

func (e *IndeterminateError) Error() string {
	return fmt.Sprintf("config: the change of service %s may have been accepted or may still be: %v; run parsley plan when the log service is available: if it shows the service as unchanged, the change was accepted; publishing again is safe, since only one change based on version %d can be accepted", e.Service, e.Cause, e.ExpectedVersion)
}

// Unwrap returns the cause.
func (e *IndeterminateError) Unwrap() error { return e.Cause }

package admin

import "fmt"

// Error is a request that a daemon refused.
type Error struct {
	Status  int    `json:"-"` // HTTP status
	Problem string `json:"error"`
	Remedy  string `json:"remedy"`
}

// Error returns the problem and its remedy.
func (e *Error) Error() string { return e.Problem + "; " + e.Remedy }

// UnreachableError reports that a daemon did not answer.
type UnreachableError struct {
	Addr  string
	Cause error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("admin: the daemon at %s does not answer: %v; check that it runs and that the address is its listen.admin, or ask another daemon", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Package dispatch decides on the entry daemon how a request proceeds: whether
// it is sent, retried, held until its owner is known, or answered.
//
// The decisions are made without I/O. The caller passes events to Request.Step
// and carries out the returned Action.
package dispatch

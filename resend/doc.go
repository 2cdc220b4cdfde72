// Package resend decides what an entry daemon does after an attempt to run a
// request: respond to the caller, send the request to another target, or wait
// for the owner of its key. It does no I/O.
package resend

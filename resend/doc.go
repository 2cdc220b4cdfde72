// Package resend decides what an entry daemon does after an attempt to have a
// request run: answer, send it to another target, or wait for the owner of its
// key. It has no I/O.
package resend

// Package runcalls knows which requests a target runs, so that a call which the target makes
// for one of them can be told from other requests. It handles a load in which calls compete
// with requests of their callee's own: a refused call fails a run that already holds a slot
// elsewhere, but a call is no more urgent than its run. It does no I/O, reads no clock and has
// no lock; a Table must be used by one goroutine at a time.
package runcalls

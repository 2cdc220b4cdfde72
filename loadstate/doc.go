// Package loadstate keeps what a target has stated last about its load. The speed of a target
// may change several times a second, so a figure soon loses its significance. It does no I/O,
// reads no clock and has no lock; its values must be used by one goroutine at a time.
package loadstate

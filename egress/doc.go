// Package egress divides the capacity of an instance's link between small messages and
// large ones. Small messages are written at once. Large ones are written in segments, one
// transfer after the other, and only while the link is idle, so that a small message
// waits behind one segment at most. Scheduler decides and does no I/O; Link drives it.
package egress

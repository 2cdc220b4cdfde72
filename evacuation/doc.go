// Package evacuation knows which zones are evacuated, from the operator's records and from
// other daemons. It does no I/O, reads no clock and has no lock; its values must be used by one
// goroutine at a time.
package evacuation

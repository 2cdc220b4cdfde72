// Package freshness decides when a copy of a value that lives elsewhere must be
// checked against its source. Several processes hold copies and tell each other how
// recently they knew the value to be current, so that normally one of them checks for
// all. The package does no I/O and reads no clock.
package freshness

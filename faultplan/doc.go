// Package faultplan generates timed fault plans for real processes from a seed:
// kills and restarts, pauses of daemons and targets, cut links, faults of the log
// service, conflicting publishes and drains. A plan is text with one action per
// line; scripts/faults.sh executes it.
package faultplan

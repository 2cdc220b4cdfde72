// Package faultplan draws timed plans of failures for real processes from a
// seed: kills and restarts, pauses of daemons and targets, cut links, faults of
// the log service, conflicting publishes and drains. A plan is text with one
// action a line, which scripts/faults.sh carries out.
package faultplan

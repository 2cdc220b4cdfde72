// Package owner serves the requests that other daemons forward to the daemon
// beside a target. It checks the lease, admits or refuses, calls the target
// and reports one of three outcomes. It is the sole way to the target, so
// slots and connections are counted here exactly.
package owner

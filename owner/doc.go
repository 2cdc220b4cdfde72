// Package owner runs at the target the requests that entry daemons forward to
// the daemon beside it. It checks the lease, admits or refuses each request,
// calls the target and reports one of three outcomes: done, not run or unknown.
// All requests reach the target through this package, so its counts of slots
// and connections are exact.
package owner

// Package target is the HTTP client for the target beside the daemon. It sends
// callers' requests over a bounded pool of warm connections, and control requests
// (grant, revoke, drain, health, load) over a few others. For each caller's request
// it reports whether bytes of it may have reached the target.
package target

// Package target talks to the target beside the daemon: callers' requests over
// a bounded pool of warm HTTP connections, and the daemon's orders (grant,
// revoke, drain, health, load). It tells exactly whether bytes of a request may
// have reached the target.
package target

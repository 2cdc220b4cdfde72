// Package logtrace finds a request's way in the log lines of all daemons, with
// what the daemons on that way believed shortly before.
package logtrace

// Package logsink writes structured log lines without ever blocking the caller.
//
// Lines wait in two bounded queues, one for lines that explain failures and one
// for all others. A single goroutine writes them and prefers the first queue.
// The lines of each kind of event are rate-limited, so that a burst of one kind
// does not displace the others. Dropped lines are counted, so that the count can
// be logged.
package logsink

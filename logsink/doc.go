// Package logsink writes structured log lines without ever blocking who logs.
//
// Lines wait in two bounded queues, one for what explains failures and one for
// the rest, and one goroutine writes them, the first queue first. Each kind of
// event has a number of lines a second, so that a storm of one kind does not
// hide the others. Lines that are dropped are counted, and the count is logged.
package logsink

// Package logtrace finds the log lines of one request in the logs of all daemons,
// together with the events that the involved daemons logged shortly before.
package logtrace

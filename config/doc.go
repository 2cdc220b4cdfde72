// Package config stores the configuration of all services in the stream
// "config" of the platform's append-only log and distributes it to all daemons.
//
// Publishing uses optimistic concurrency control: a Change carries the version
// of the service that it expects. The first change in log order that expects
// the current version is accepted, and its offset becomes the service's new
// version; a later change that expects the same version is rejected. Whether a
// record is accepted depends only on the order of the records and on their
// headers, whose encoding never changes; see State.Apply. All readers, whatever
// their release, therefore agree on the version of each service. A reader that
// does not support the schema of an accepted change keeps the last
// configuration that it supports and reports the service as blocked.
//
// Records expire. Before they do, a daemon appends a Snapshot with the offset
// that it covers. A reader that starts loads a snapshot after whose covered
// offset no record is missing, and replays the log from there.
//
// Core is the state machine of one daemon and does no I/O; Follower drives it.
// Publisher serves the operators' command line.
package config

import "github.com/parsleystack/parsleystack/platformlog"

// Stream is the name of the log stream that holds the configuration.
const Stream platformlog.Stream = "config"

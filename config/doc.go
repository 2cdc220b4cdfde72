// Package config keeps the configuration of all services in the stream
// "config" of the platform's log, and puts it into force in every daemon.
//
// A Change names the version of the service that it is based on. The first
// change in log order with the right base is accepted and its offset becomes
// the service's version; a later change with the same base is void. This
// verdict is a pure function of the order of the records, see State.Apply, and
// depends on the envelope of a record only, which never changes its form. All
// readers, of all versions, therefore agree on the version of each service. A
// reader that does not understand the content of an accepted change keeps the
// last content it understood and reports the service as blocked.
//
// Records expire. Before they do, a daemon appends a Snapshot that names the
// offset that it covers. A reader that starts takes a snapshot whose covered
// offset is followed by every later record, and replays from there.
//
// Core is the state machine of one daemon without I/O; Follower is its driver.
// Publisher is used by the operators' command line.
package config

import "github.com/parsleystack/parsleystack/platformlog"

// Stream is the name of the configuration's stream.
const Stream platformlog.Stream = "config"

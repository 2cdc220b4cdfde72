// Package cli is the operators' command line as a library: it parses the
// arguments of the parsley command, calls the log service and the daemons, and
// prints text for people or, with --json, one JSON document for programs.
package cli

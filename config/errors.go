package config

import (
	"fmt"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// UndecodableError reports a malformed record of the stream, or a malformed body
// of an accepted change.
type UndecodableError struct {
	Service ident.Service // "" if the record itself is malformed
	Cause   error
}

func (e *UndecodableError) Error() string {
	if e.Service == "" {
		return fmt.Sprintf("config: a record of stream %q can't be decoded: %v; find out what else writes to the stream besides parsley and its daemons", Stream, e.Cause)
	}
	return fmt.Sprintf("config: the configuration of service %q can't be decoded: %v; publish its file again", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *UndecodableError) Unwrap() error { return e.Cause }

// NewerSchemaError reports an accepted change whose schema or kind this release
// does not support.
type NewerSchemaError struct {
	Service ident.Service
	Version platformlog.Offset
	Kind    Kind
	Schema  int
}

func (e *NewerSchemaError) Error() string {
	return fmt.Sprintf("config: change %d of service %q (%v, schema %d) is newer than this version supports (schema %d); the last supported configuration stays in force; upgrade this process", e.Version, e.Service, e.Kind, e.Schema, Schema)
}

// TruncatedError reports that the start of the stream has expired and no snapshot
// covers it, so that the state can't be rebuilt. Earliest is the offset of the
// oldest record that is kept.
type TruncatedError struct {
	Earliest platformlog.Offset
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("config: records before offset %d of stream %q have expired and no snapshot covers them; start this process while a daemon that has the configuration is running, or run parsley publish --reset with all service files", e.Earliest, Stream)
}

// RevertError reports that a state was rejected because it is older than the one
// in force.
type RevertError struct {
	InForce platformlog.Offset
	Offered platformlog.Offset
}

func (e *RevertError) Error() string {
	return fmt.Sprintf("config: the state at offset %d was rejected, since a newer one at offset %d is in force; report this as a bug", e.Offered, e.InForce)
}

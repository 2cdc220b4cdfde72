package config

import (
	"fmt"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// UndecodableError reports a record that does not have the form of a record of
// the stream.
type UndecodableError struct {
	Service ident.Service // "" if the envelope itself is not understood
	Cause   error
}

func (e *UndecodableError) Error() string {
	if e.Service == "" {
		return fmt.Sprintf("config: a record of stream %q is not understood: %v; find what writes to the stream besides parsley and its daemons", Stream, e.Cause)
	}
	return fmt.Sprintf("config: the content of service %q is not understood: %v; publish its file again", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *UndecodableError) Unwrap() error { return e.Cause }

// NewerSchemaError reports an accepted change whose content this version does
// not understand.
type NewerSchemaError struct {
	Service ident.Service
	Version platformlog.Offset
	Kind    Kind
	Schema  int
}

func (e *NewerSchemaError) Error() string {
	return fmt.Sprintf("config: change %d of service %q (%v, schema %d) is newer than this version understands (schema %d); the last understood content stays in force; upgrade this process", e.Version, e.Service, e.Kind, e.Schema, Schema)
}

// TruncatedError reports that the start of the stream has expired and that no
// snapshot covers it.
type TruncatedError struct {
	Earliest platformlog.Offset
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("config: records before offset %d of stream %q have expired and no snapshot covers them; start this process while a daemon that knows the configuration runs, or run parsley publish --reset with all service files", e.Earliest, Stream)
}

// RevertError reports a state that is older than the one in force. It is
// refused.
type RevertError struct {
	InForce platformlog.Offset
	Offered platformlog.Offset
}

func (e *RevertError) Error() string {
	return fmt.Sprintf("config: a state of offset %d was offered while offset %d is in force; it was refused; report this as a defect", e.Offered, e.InForce)
}

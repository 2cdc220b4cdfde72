package metastore

import (
	"errors"
	"fmt"
)

var (
	// ErrNotApplied reports a call that was refused or not sent and had no effect.
	ErrNotApplied = errors.New("metastore: the store refused the call; repeat it after a pause")
	// ErrIndeterminate reports a call without an answer, whose outcome is
	// indeterminate: an append may have taken effect or may still do so.
	ErrIndeterminate = errors.New("metastore: the store did not answer; read the partition to see whether the call took effect")
	// ErrBadAnswer reports an answer that could not be decoded.
	ErrBadAnswer = errors.New("metastore: the store's answer can't be read; check that its address is that of the store")
)

// ConditionError reports a conditional append at an offset that is not the end
// of the partition. Nothing was appended.
type ConditionError struct {
	End Offset // end of the partition
}

func (e *ConditionError) Error() string {
	return fmt.Sprintf("metastore: append at a stale offset, the partition ends at %d; read up to there and decide whether to append again", e.End.Position())
}

// TruncatedError reports a read from a truncated range: the requested records are no
// longer kept.
type TruncatedError struct {
	First Offset // oldest record that is still kept
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("metastore: records before offset %d are no longer kept; load the newest record of each key", e.First.Position())
}

// EraError reports an answer of another era than the call assumes. Its records are
// not returned.
type EraError struct {
	Expected Era // of the offset in the call, or the latest one that the client knows
	Store    Era // of the answer
}

func (e *EraError) Error() string {
	if e.Store < e.Expected {
		return fmt.Sprintf("metastore: an answer of era %d, era %d has begun; repeat the call", e.Store, e.Expected)
	}
	return fmt.Sprintf("metastore: the store has come back from an older copy and is in era %d, the call assumes era %d; load the newest record of each key and write again what is missing", e.Store, e.Expected)
}

package metastore

import (
	"errors"
	"fmt"
)

var (
	// ErrNotDone reports a call that the store refused and that had no effect.
	ErrNotDone = errors.New("metastore: the store refused the call; repeat it after a pause")
	// ErrMaybeDone reports a call without an answer. An append may have taken
	// effect or may do so later.
	ErrMaybeDone = errors.New("metastore: the store did not answer; read the partition to learn whether the call took effect")
	// ErrBadAnswer reports an answer that could not be decoded.
	ErrBadAnswer = errors.New("metastore: the store's answer can't be read; check that its address is that of the store")
)

// ConditionError reports a conditional append to a partition that ends
// elsewhere. Nothing was appended.
type ConditionError struct {
	End Offset
}

func (e *ConditionError) Error() string {
	return fmt.Sprintf("metastore: the partition ends at %d; read up to there and decide again", e.End)
}

// GoneError reports records that are no longer kept.
type GoneError struct {
	First Offset
}

func (e *GoneError) Error() string {
	return fmt.Sprintf("metastore: records before %d are no longer kept; load the newest record of each key", e.First)
}

package metastore

import (
	"context"
	"time"
)

// Partition identifies one partition of a topic.
type Partition struct {
	Topic string
	Index int
}

// Record is one record of a keyed topic. A record without a value deletes its
// key.
type Record struct {
	Key    string
	Value  []byte
	Offset Offset
}

// Batch is the result of a read: records in the order of their offsets, and the
// bounds of the partition when the store answered.
type Batch struct {
	Records []Record
	End     Offset // offset of the next record to be appended
	First   Offset // oldest record that is still kept
}

// Store is a client of the shared store. All methods are safe for concurrent
// use. They return the errors of this package. An answer of an earlier era than one
// that this client has received before is reported as an *EraError and not used.
type Store interface {
	// AppendAt appends the records if and only if the partition ends at offset
	// at, and returns the new end. It returns a *ConditionError if the partition
	// ends elsewhere, ErrNotApplied if nothing was appended, and ErrIndeterminate
	// if the append may have taken effect or may still do so. The store compares
	// only positions. If it is in a later era than at, AppendAt returns an
	// *EraError, and the partition may contain the records at a position of that era.
	AppendAt(ctx context.Context, p Partition, at Offset, records []Record) (end Offset, err error)
	// Append appends the records at the end of the partition. A retry after
	// ErrIndeterminate may append them twice.
	Append(ctx context.Context, p Partition, records []Record) error
	// Read returns the records from offset from on. If there is none yet, it
	// waits up to wait for one and then returns an empty batch. It returns a
	// *TruncatedError if the records are no longer kept, and an *EraError without
	// any records if the store is not in the era of from.
	Read(ctx context.Context, p Partition, from Offset, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key and an offset from which
	// Read continues without a gap. All of them are of one era.
	Newest(ctx context.Context, p Partition) (Batch, error)
	// Era returns the latest era that an answer of the store has stated, and a
	// channel that is closed when an answer states a later one.
	Era() (era Era, later <-chan struct{})
}

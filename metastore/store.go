package metastore

import (
	"context"
	"time"
)

// Offset numbers the records of one partition from 0 without gaps.
type Offset int64

// Partition names one partition of a topic.
type Partition struct {
	Topic string
	Index int
}

// Record is one record of a keyed topic. A record without a value drops its
// key.
type Record struct {
	Key    string
	Value  []byte
	Offset Offset
}

// Batch is what a read returned: records in order, and the end of the
// partition when the store answered.
type Batch struct {
	Records []Record
	End     Offset // offset of the next record to be appended
	First   Offset // oldest record that is still kept
}

// Store is the access to the shared store. All methods may be called by many
// goroutines at once. Errors are those of this package.
type Store interface {
	// AppendAt appends the records if and only if the partition ends at the
	// offset. It returns a *ConditionError if the partition ends elsewhere,
	// ErrNotDone if nothing was appended and ErrMaybeDone if the append may
	// still take effect, also later.
	AppendAt(ctx context.Context, p Partition, at Offset, records []Record) (end Offset, err error)
	// Append appends the records wherever the partition ends. A repeat after
	// ErrMaybeDone may append them twice.
	Append(ctx context.Context, p Partition, records []Record) error
	// Read returns the records from an offset on. It waits up to wait for a
	// first one and returns an empty batch if there is none. It returns a
	// *GoneError if the records are no longer kept.
	Read(ctx context.Context, p Partition, from Offset, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key and an offset from which
	// Read continues without a gap.
	Newest(ctx context.Context, p Partition) (Batch, error)
}

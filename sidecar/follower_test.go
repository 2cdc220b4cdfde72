package sidecar

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/metastore"
)

// refusingStore refuses to read from the offset that it has just named.
type refusingStore struct {
	metastore.Store
	reads atomic.Int64
}

func (s *refusingStore) Newest(context.Context, metastore.Partition) (metastore.Batch, error) {
	return metastore.Batch{End: 5}, nil
}

func (s *refusingStore) Read(context.Context, metastore.Partition, metastore.Offset, time.Duration) (metastore.Batch, error) {
	s.reads.Add(1)
	return metastore.Batch{}, &metastore.TruncatedError{First: 0}
}

func (s *refusingStore) Era() (metastore.Era, <-chan struct{}) { return 0, nil }

// A store that refuses the offset which it has just named was asked again without a
// pause, as fast as it answered.
func TestRefusedOffsetsAreAskedForWithPauses(t *testing.T) {
	t.Parallel()
	store := new(refusingStore)
	f := &follower{
		store: store, log: zap.NewNop(), pollTime: func() time.Duration { return time.Second },
		apply: func(metastore.Offset, metastore.Batch, clock.Time, bool) {},
	}
	const period = time.Second
	ctx, cancel := context.WithTimeout(context.Background(), period)
	defer cancel()
	if err := f.run(ctx); err != nil {
		t.Fatal(err)
	}
	if most := int64(2 + 2*period/minBackoff); store.reads.Load() > most {
		t.Errorf("%d reads in %v, %d at most with pauses of %v and more", store.reads.Load(), period, most, minBackoff/2)
	}
}

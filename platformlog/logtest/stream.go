package logtest

import (
	"time"

	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/platformlog/logwire"
)

// stream holds the records of one stream that are still kept.
type stream struct {
	records  []platformlog.Record
	earliest platformlog.Offset
	next     platformlog.Offset
}

func newStream() *stream { return &stream{earliest: 1, next: 1} }

func (s *stream) append(now time.Time, payload []byte) platformlog.Offset {
	offset := s.next
	s.next++
	s.records = append(s.records, platformlog.Record{Offset: offset, Time: now.UnixNano(), Payload: payload})
	return offset
}

// expire drops records that exceed the retention time or the record limit.
func (s *stream) expire(now time.Time, options Options) {
	drop := 0
	if options.MaxRecords > 0 {
		drop = max(0, len(s.records)-options.MaxRecords)
	}
	if options.Retention > 0 {
		oldest := now.Add(-options.Retention).UnixNano()
		for drop < len(s.records) && s.records[drop].Time < oldest {
			drop++
		}
	}
	s.records = s.records[drop:]
	s.earliest += platformlog.Offset(drop)
}

// batch returns up to limit records starting at from, which must not precede
// the earliest offset.
func (s *stream) batch(from platformlog.Offset, limit int) platformlog.Batch {
	b := platformlog.Batch{Earliest: s.earliest, Next: s.next}
	if from >= s.next {
		return b
	}
	size := 0
	for _, r := range s.records[from-s.earliest:] {
		if len(b.Records) >= limit || size > logwire.MaxBatchBytes {
			break
		}
		size += len(r.Payload)
		b.Records = append(b.Records, r)
	}
	return b
}

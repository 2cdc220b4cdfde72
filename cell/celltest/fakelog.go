package celltest

import "github.com/parsleystack/parsleystack/platformlog"

// readLimit is the largest number of records in a batch.
const readLimit = 64

// fakeLog simulates one stream of the log service.
type fakeLog struct {
	records   []platformlog.Record
	next      platformlog.Offset
	retention trueTime // 0 keeps all records
	waiting   NodeSet  // instances with a read that waits for a record
}

func newFakeLog(retention trueTime) fakeLog {
	return fakeLog{next: 1, retention: retention}
}

// append adds a record and returns its offset.
func (l *fakeLog) append(payload []byte, now trueTime) platformlog.Offset {
	off := l.next
	l.next++
	l.records = append(l.records, platformlog.Record{Offset: off, Time: int64(now), Payload: payload})
	return off
}

// expire drops the records that are older than the retention time.
func (l *fakeLog) expire(now trueTime) {
	if l.retention == 0 {
		return
	}
	n := 0
	for n < len(l.records) && l.records[n].Time < int64(now-l.retention) {
		n++
	}
	l.records = l.records[n:]
}

func (l *fakeLog) earliest() platformlog.Offset {
	if len(l.records) == 0 {
		return l.next
	}
	return l.records[0].Offset
}

// read returns a batch starting at from, which must not precede the earliest
// offset.
func (l *fakeLog) read(from platformlog.Offset) platformlog.Batch {
	batch := platformlog.Batch{Earliest: l.earliest(), Next: l.next}
	if from < l.next {
		part := l.records[from-batch.Earliest:]
		n := min(len(part), readLimit)
		batch.Records = part[:n:n]
	}
	return batch
}

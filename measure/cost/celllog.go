package cost

import (
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/platformlog"
)

// append stores a record, answers, and ends the reads that wait for it.
func (r *cellRun) append(m *cellMember, a cell.Append) {
	payload := a.Record.AppendTo(nil)
	offset := platformlog.Offset(len(r.records) + 1)
	r.records = append(r.records, platformlog.Record{Offset: offset, Time: int64(r.now), Payload: payload})
	r.bytes += len(payload)
	r.after(logDelay, func() {
		r.step(m, cell.Appended{Nonce: a.Nonce, Offset: offset, Outcome: cell.AppendDone})
	})
	for _, reader := range r.members {
		if reader.polling {
			r.endPoll(reader, reader.polled)
		}
	}
}

// poll starts a read that waits for the next record.
func (r *cellRun) poll(m *cellMember) {
	if m.stopped {
		return
	}
	started := r.now
	if int(m.node.View(r.now).NextOffset) <= len(r.records) {
		r.endPoll(m, started)
		return
	}
	m.polling, m.polled = true, started
	r.after(longPoll, func() {
		if m.polling && m.polled == started {
			r.endPoll(m, started)
		}
	})
}

// endPoll answers a read and starts the next one.
func (r *cellRun) endPoll(m *cellMember, started clock.Time) {
	m.polling = false
	r.after(logDelay, func() { r.answerRead(m, started); r.poll(m) })
}

// read is one read beside the long poll.
func (r *cellRun) read(m *cellMember, started clock.Time) {
	r.after(2*logDelay, func() { r.answerRead(m, started) })
}

func (r *cellRun) answerRead(m *cellMember, started clock.Time) {
	from := max(m.node.View(r.now).NextOffset, 1)
	batch := platformlog.Batch{Earliest: 1, Next: platformlog.Offset(len(r.records) + 1)}
	if int(from) <= len(r.records) {
		batch.Records = r.records[from-1:]
	}
	r.step(m, cell.LogRead{Started: started, From: from, Batch: batch})
}

// stop ends a process without notice.
func (r *cellRun) stop(m *cellMember) { m.stopped = true }

// steady lets d pass and returns what the members use in that time.
func (r *cellRun) steady(d time.Duration) map[*cellMember]cellUse {
	for _, m := range r.members {
		m.use = cellUse{}
	}
	r.run(d)
	used := map[*cellMember]cellUse{}
	for _, m := range r.members {
		used[m] = m.use
	}
	return used
}

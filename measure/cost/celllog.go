package cost

import (
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/platformlog"
)

// appendRecord stores a record, acknowledges it after logDelay, and completes
// the long polls that wait for a record.
func (r *cellSim) appendRecord(m *cellMember, a cell.Append) {
	payload := a.Record.AppendTo(nil)
	offset := platformlog.Offset(len(r.records) + 1)
	r.records = append(r.records, platformlog.Record{Offset: offset, Time: int64(r.now), Payload: payload})
	r.payloadBytes += len(payload)
	r.schedule(logDelay, func() {
		r.step(m, cell.Appended{Nonce: a.Nonce, Offset: offset, Outcome: cell.AppendDone})
	})
	for _, reader := range r.members {
		if reader.polling {
			r.endPoll(reader, reader.pollStarted)
		}
	}
}

// poll starts a long poll for the next record.
func (r *cellSim) poll(m *cellMember) {
	if m.stopped {
		return
	}
	started := r.now
	if int(m.node.View(r.now).NextOffset) <= len(r.records) {
		r.endPoll(m, started)
		return
	}
	m.polling, m.pollStarted = true, started
	r.schedule(longPoll, func() {
		if m.polling && m.pollStarted == started {
			r.endPoll(m, started)
		}
	})
}

// endPoll completes a long poll and starts the next one.
func (r *cellSim) endPoll(m *cellMember, started clock.Time) {
	m.polling = false
	r.schedule(logDelay, func() { r.completeRead(m, started); r.poll(m) })
}

// readLog starts a read in addition to the long poll.
func (r *cellSim) readLog(m *cellMember, started clock.Time) {
	r.schedule(2*logDelay, func() { r.completeRead(m, started) })
}

// completeRead passes the result of a read to the member: all records from its next
// offset on.
func (r *cellSim) completeRead(m *cellMember, started clock.Time) {
	from := max(m.node.View(r.now).NextOffset, 1)
	batch := platformlog.Batch{Earliest: 1, Next: platformlog.Offset(len(r.records) + 1)}
	if int(from) <= len(r.records) {
		batch.Records = r.records[from-1:]
	}
	r.step(m, cell.LogRead{Started: started, From: from, Batch: batch})
}

// stop simulates a crash of a member.
func (r *cellSim) stop(m *cellMember) { m.stopped = true }

// usageOver advances the clock by d and returns the usage of each member in that
// time.
func (r *cellSim) usageOver(d time.Duration) map[*cellMember]memberUsage {
	for _, m := range r.members {
		m.usage = memberUsage{}
	}
	r.advance(d)
	used := map[*cellMember]memberUsage{}
	for _, m := range r.members {
		used[m] = m.usage
	}
	return used
}

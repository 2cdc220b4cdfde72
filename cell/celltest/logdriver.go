package celltest

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/platformlog"
)

const (
	maxLogDelay    = trueTime(8 * time.Millisecond)
	appendTimeout  = trueTime(time.Second)
	readTimeout    = trueTime(1500 * time.Millisecond)
	pollTime       = trueTime(600 * time.Millisecond)
	readPause      = trueTime(20 * time.Millisecond)
	truncatedPause = trueTime(200 * time.Millisecond)
)

// pollWait is a flag in the id of a read that waits for a record if there is
// none.
const pollWait = 1 << 62

func (w *World) logLatency() trueTime { return 1 + w.upTo(maxLogDelay) + w.upTo(w.links.logSlow) }

// reachesLog reports whether requests from a slot reach the log.
func (w *World) reachesLog(slot int) bool { return w.links.cut[slot]&Log == 0 }

// responseReaches reports whether responses of the log reach a slot.
func (w *World) responseReaches(slot int) bool { return w.links.cut[logIndex]&Slot(slot) == 0 }

// append sends a record to the log.
func (w *World) append(p *process, a *cell.Append) {
	payload, err := w.opts.Encode(a.Record)
	if err != nil {
		panic(fmt.Sprintf("celltest: encode a record: %v", err))
	}
	if !w.reachesLog(p.slot) {
		w.respondToAppend(p.slot, p.gen, a.Nonce, 0, w.failedOutcome(), w.upTo(appendTimeout))
		return
	}
	w.queue.push(item{at: w.now + w.logLatency(), kind: itemAppendArrive, slot: int8(p.slot), gen: p.gen, id: a.Nonce, payload: payload})
}

// failedOutcome returns a random outcome to report for an append that had no
// effect.
func (w *World) failedOutcome() cell.AppendOutcome {
	if w.rng.Intn(2) == 0 {
		return cell.AppendFailed
	}
	return cell.AppendUnknown
}

func (w *World) respondToAppend(slot int, gen uint32, nonce uint64, off platformlog.Offset, outcome cell.AppendOutcome, after trueTime) {
	ev := cell.Appended{Nonce: nonce, Offset: off, Outcome: outcome}
	w.queue.push(item{at: w.now + after, kind: itemEvent, slot: int8(slot), gen: gen, event: ev})
}

func (w *World) handleLog(it *item) {
	p := &w.procs[it.slot]
	switch it.kind {
	case itemAppendArrive:
		w.handleAppend(it)
	case itemAppendCommit:
		w.commitLate(it)
	case itemReadArrive:
		w.handleRead(p, it)
	case itemReadPollEnd:
		w.endPoll(p, it)
	case itemReadRetry:
		if it.id == p.readID {
			w.read(p, true)
		}
	case itemReadResponse:
		w.handleReadResponse(p, it)
	}
}

// handleAppend processes an append that has reached the log.
func (w *World) handleAppend(it *item) {
	slot := int(it.slot)
	if w.links.logDown {
		outcome := w.failedOutcome()
		w.respondToAppend(slot, it.gen, it.id, 0, outcome, w.logLatency())
		if outcome == cell.AppendUnknown && w.rng.Intn(2) == 0 {
			w.scheduleCommit(it, w.links.logDownUntil-w.now+w.upTo(trueTime(time.Second)))
		}
		return
	}
	if w.chance(w.links.latePercent) {
		w.respondToAppend(slot, it.gen, it.id, 0, cell.AppendUnknown, w.upTo(appendTimeout))
		w.scheduleCommit(it, w.upTo(w.links.maxLateness))
		return
	}
	off := w.commit(it.payload)
	if w.chance(w.links.lostResponses) || !w.responseReaches(slot) {
		w.respondToAppend(slot, it.gen, it.id, 0, cell.AppendUnknown, w.upTo(appendTimeout))
		return
	}
	w.respondToAppend(slot, it.gen, it.id, off, cell.AppendDone, w.logLatency())
}

func (w *World) scheduleCommit(it *item, after trueTime) {
	w.queue.push(item{at: w.now + max(after, 0), kind: itemAppendCommit, slot: it.slot, payload: it.payload})
}

func (w *World) commitLate(it *item) {
	if w.links.logDown {
		w.scheduleCommit(it, w.links.logDownUntil-w.now+1)
		return
	}
	w.commit(it.payload)
}

// commit adds a record to the stream and responds to waiting reads.
func (w *World) commit(payload []byte) platformlog.Offset {
	w.log.expire(w.now)
	off := w.log.append(payload, w.now)
	w.check.recordCommitted(off, payload)
	waiting := w.log.waiting
	w.log.waiting = 0
	for slot := range w.procs {
		if waiting&Slot(slot) != 0 {
			w.respondToRead(&w.procs[slot])
		}
	}
	return off
}

// read starts a read from the next offset of the state machine. It abandons any
// earlier read.
func (w *World) read(p *process, wait bool) {
	p.readID++
	p.readStart = p.now(w.now)
	w.log.waiting &^= Slot(p.slot)
	id := p.readID
	w.queue.push(item{at: w.now + readTimeout + w.links.logSlow, kind: itemReadRetry, slot: int8(p.slot), gen: p.gen, id: id})
	if !w.reachesLog(p.slot) {
		return
	}
	if wait {
		id |= pollWait
	}
	w.queue.push(item{at: w.now + w.logLatency(), kind: itemReadArrive, slot: int8(p.slot), gen: p.gen, id: id})
}

func (w *World) handleRead(p *process, it *item) {
	id := it.id &^ pollWait
	if !p.alive || p.gen != it.gen || id != p.readID || w.links.logDown {
		return
	}
	w.log.expire(w.now)
	if it.id&pollWait != 0 && p.machine.NextOffset() >= w.log.next {
		w.log.waiting |= Slot(p.slot)
		w.queue.push(item{at: w.now + pollTime, kind: itemReadPollEnd, slot: it.slot, gen: it.gen, id: id})
		return
	}
	w.respondToRead(p)
}

func (w *World) endPoll(p *process, it *item) {
	if !p.alive || p.gen != it.gen || it.id != p.readID || w.links.logDown || w.log.waiting&Slot(p.slot) == 0 {
		return
	}
	w.log.waiting &^= Slot(p.slot)
	w.respondToRead(p)
}

// respondToRead sends the response to the current read of p.
func (w *World) respondToRead(p *process) {
	if !w.responseReaches(p.slot) {
		return
	}
	from := p.machine.NextOffset()
	earliest := w.log.earliest()
	var ev cell.Event
	if from < earliest {
		ev = cell.LogTruncated{From: from, Earliest: earliest}
	} else {
		ev = cell.LogRead{Started: p.readStart, From: from, Batch: w.log.read(from)}
	}
	w.queue.push(item{at: w.now + w.logLatency(), kind: itemReadResponse, slot: int8(p.slot), gen: p.gen, id: p.readID, event: ev})
}

// handleReadResponse passes the response to a read to the state machine and
// schedules the next read.
func (w *World) handleReadResponse(p *process, it *item) {
	if it.id != p.readID {
		return
	}
	if _, truncated := it.event.(cell.LogTruncated); truncated {
		p.truncatedAt = p.now(w.now)
	}
	p.lastErr = nil
	w.step(p, it.event)
	if !p.alive {
		return
	}
	w.check.checkView(p)
	if p.readID != it.id {
		return
	}
	pause := readPause
	if _, truncated := it.event.(cell.LogTruncated); truncated {
		pause = truncatedPause
	}
	p.readID++
	w.queue.push(item{at: w.now + pause, kind: itemReadRetry, slot: int8(p.slot), gen: p.gen, id: p.readID})
}

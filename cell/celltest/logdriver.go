package celltest

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/platformlog"
)

const (
	logDelay      = trueTime(8 * time.Millisecond)
	appendTimeout = trueTime(time.Second)
	readTimeout   = trueTime(1500 * time.Millisecond)
	pollTime      = trueTime(600 * time.Millisecond)
	readPause     = trueTime(20 * time.Millisecond)
	gapPause      = trueTime(200 * time.Millisecond)
)

// pollWait marks a read that waits for a record if there is none.
const pollWait = 1 << 62

func (w *World) logLatency() trueTime { return 1 + w.upTo(logDelay) + w.upTo(w.links.logSlow) }

// reachesLog reports whether a request of p gets to the log.
func (w *World) reachesLog(slot int) bool { return w.links.cut[slot]&Log == 0 }

// answered reports whether an answer of the log gets to p.
func (w *World) answered(slot int) bool { return w.links.cut[logIndex]&Slot(slot) == 0 }

// append sends a record to the log.
func (w *World) append(p *process, a *cell.Append) {
	payload, err := w.opts.Encode(a.Record)
	if err != nil {
		panic(fmt.Sprintf("celltest: a record cannot be encoded: %v", err))
	}
	if !w.reachesLog(p.slot) {
		w.answerAppend(p.slot, p.gen, a.Nonce, 0, w.failure(), w.upTo(appendTimeout))
		return
	}
	w.queue.push(item{at: w.now + w.logLatency(), kind: itemAppendArrive, slot: int8(p.slot), gen: p.gen, id: a.Nonce, payload: payload})
}

// failure chooses what an appender learns of an append that had no effect.
func (w *World) failure() cell.AppendOutcome {
	if w.rng.Intn(2) == 0 {
		return cell.AppendFailed
	}
	return cell.AppendUnknown
}

func (w *World) answerAppend(slot int, gen uint32, nonce uint64, off platformlog.Offset, outcome cell.AppendOutcome, after trueTime) {
	ev := cell.Appended{Nonce: nonce, Offset: off, Outcome: outcome}
	w.queue.push(item{at: w.now + after, kind: itemEvent, slot: int8(slot), gen: gen, event: ev})
}

func (w *World) handleLog(it *item) {
	p := &w.procs[it.slot]
	switch it.kind {
	case itemAppendArrive:
		w.appendArrives(it)
	case itemAppendLand:
		w.appendLands(it)
	case itemReadArrive:
		w.readArrives(p, it)
	case itemReadPollEnd:
		w.pollEnds(p, it)
	case itemReadRetry:
		if it.id == p.readID {
			w.read(p, true)
		}
	case itemReadAnswer:
		w.readAnswer(p, it)
	}
}

// appendArrives decides the fate of an append.
func (w *World) appendArrives(it *item) {
	slot := int(it.slot)
	if w.links.logDown {
		outcome := w.failure()
		w.answerAppend(slot, it.gen, it.id, 0, outcome, w.logLatency())
		if outcome == cell.AppendUnknown && w.rng.Intn(2) == 0 {
			w.landLater(it, w.links.logDownUntil-w.now+w.upTo(trueTime(time.Second)))
		}
		return
	}
	if w.chance(w.links.late) {
		w.answerAppend(slot, it.gen, it.id, 0, cell.AppendUnknown, w.upTo(appendTimeout))
		w.landLater(it, w.upTo(w.links.lateBy))
		return
	}
	off := w.land(it.payload)
	if w.chance(w.links.lostAnswers) || !w.answered(slot) {
		w.answerAppend(slot, it.gen, it.id, 0, cell.AppendUnknown, w.upTo(appendTimeout))
		return
	}
	w.answerAppend(slot, it.gen, it.id, off, cell.AppendDone, w.logLatency())
}

func (w *World) landLater(it *item, after trueTime) {
	w.queue.push(item{at: w.now + max(after, 0), kind: itemAppendLand, slot: it.slot, payload: it.payload})
}

func (w *World) appendLands(it *item) {
	if w.links.logDown {
		w.landLater(it, w.links.logDownUntil-w.now+1)
		return
	}
	w.land(it.payload)
}

// land adds a record to the stream and answers the reads that wait for it.
func (w *World) land(payload []byte) platformlog.Offset {
	w.log.expire(w.now)
	off := w.log.append(payload, w.now)
	w.check.landed(off, payload)
	waiting := w.log.waiting
	w.log.waiting = 0
	for slot := range w.procs {
		if waiting&Slot(slot) != 0 {
			w.answerRead(&w.procs[slot])
		}
	}
	return off
}

// read starts a read from the machine's next offset; any earlier read is given up.
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

func (w *World) readArrives(p *process, it *item) {
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
	w.answerRead(p)
}

func (w *World) pollEnds(p *process, it *item) {
	if !p.alive || p.gen != it.gen || it.id != p.readID || w.links.logDown || w.log.waiting&Slot(p.slot) == 0 {
		return
	}
	w.log.waiting &^= Slot(p.slot)
	w.answerRead(p)
}

// answerRead sends the answer of the read in force.
func (w *World) answerRead(p *process) {
	if !w.answered(p.slot) {
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
	w.queue.push(item{at: w.now + w.logLatency(), kind: itemReadAnswer, slot: int8(p.slot), gen: p.gen, id: p.readID, event: ev})
}

// readAnswer hands the answer of a read to the machine and plans the next one.
func (w *World) readAnswer(p *process, it *item) {
	if it.id != p.readID {
		return
	}
	if _, gap := it.event.(cell.LogTruncated); gap {
		p.gapAt = p.now(w.now)
	}
	p.lastErr = nil
	w.step(p, it.event)
	if !p.alive {
		return
	}
	w.check.observe(p)
	if p.readID != it.id {
		return
	}
	pause := readPause
	if _, gap := it.event.(cell.LogTruncated); gap {
		pause = gapPause
	}
	p.readID++
	w.queue.push(item{at: w.now + pause, kind: itemReadRetry, slot: int8(p.slot), gen: p.gen, id: p.readID})
}

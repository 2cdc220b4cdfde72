package celltest

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
)

const (
	netDelay      = trueTime(2 * time.Millisecond)
	longestWork   = trueTime(1200 * time.Millisecond)
	coldStart     = trueTime(300 * time.Millisecond)
	firstLifetime = 1_000_000
)

// start starts a new process in the slot of p.
func (w *World) start(p *process) {
	if p.alive {
		return
	}
	p.gen++
	p.node = ident.Node{Instance: instance(p.slot), Incarnation: ident.Incarnation(firstLifetime + int64(w.now) + int64(p.gen))}
	cfg := w.params.config(w.schedule, p.slot, p.node)
	if w.opts.Configure != nil {
		w.opts.Configure(&cfg, w.schedule.Rule)
	}
	m, err := w.opts.New(cfg)
	if err != nil {
		panic(fmt.Sprintf("celltest: the machine does not start: %v", err))
	}
	p.machine = m
	p.alive = true
	p.wakeAt, p.stall, p.timerAt = 0, 0, 0
	p.leaving, p.unready, p.gapAt = false, false, 0
	p.holdings, p.work, p.drains = p.holdings[:0], p.work[:0], p.drains[:0]
	w.read(p, false)
	w.step(p, cell.TargetState{Ready: true})
}

// stop ends the process of p.
func (w *World) stop(p *process) {
	if !p.alive {
		return
	}
	p.alive = false
	p.holdings = p.holdings[:0]
	p.work = p.work[:0]
	w.dead = append(w.dead, p.node)
	w.log.waiting &^= Slot(p.slot)
}

// freeze stops p from running for a time.
func (w *World) freeze(p *process, d trueTime) {
	if !p.alive {
		return
	}
	p.wakeAt = max(p.wakeAt, w.now+d)
	w.queue.push(item{at: p.wakeAt, kind: itemWake, slot: int8(p.slot), gen: p.gen})
}

// step hands one event to the machine and carries out the effects.
func (w *World) step(p *process, ev cell.Event) {
	w.result.Steps++
	eff := p.machine.Step(ev, p.now(w.now))
	if p.stall > 0 && (eff.HoldingsChanged || len(eff.Messages) > 0 || len(eff.Appends) > 0) {
		w.freeze(p, p.stall)
		p.stall = 0
		p.exempt = max(p.exempt, p.wakeAt+toTrue(ServeAgain))
		w.queue.push(item{at: p.wakeAt, kind: itemEffects, slot: int8(p.slot), gen: p.gen, effects: &eff})
		return
	}
	w.apply(p, &eff)
}

// apply carries out effects in the order of their fields.
func (w *World) apply(p *process, eff *cell.Effects) {
	if eff.HoldingsChanged {
		w.install(p, eff.Holdings)
	}
	for i := range eff.Release {
		w.release(p, &eff.Release[i])
	}
	for i := range eff.Prepare {
		w.prepare(p, &eff.Prepare[i])
	}
	for i := range eff.Messages {
		w.send(p, &eff.Messages[i])
	}
	for i := range eff.Appends {
		w.append(p, &eff.Appends[i])
	}
	if eff.ReadLog {
		w.read(p, false)
	}
	w.check.acknowledged(p, eff.Committed)
	if eff.Err != nil {
		p.lastErr = eff.Err
	}
	if eff.Left {
		w.check.left(p)
		w.stop(p)
		return
	}
	w.planTick(p, eff)
}

// planTick plans the next tick of p.
func (w *World) planTick(p *process, eff *cell.Effects) {
	at := w.now + trueTime(tickInterval)
	if eff.Wake > 0 {
		at = min(at, max(p.clk.when(eff.Wake)+1, w.now+trueTime(time.Millisecond)))
	}
	if p.timerAt > w.now && p.timerAt <= at {
		return
	}
	p.timer++
	p.timerAt = at
	w.queue.push(item{at: at, kind: itemTick, slot: int8(p.slot), gen: p.gen, id: p.timer})
}

func (w *World) tick(p *process, id uint64) {
	if id != p.timer {
		return
	}
	p.timerAt = 0
	w.step(p, cell.Tick{})
}

// install puts holdings in force in the request path.
func (w *World) install(p *process, holdings []cell.Holding) {
	p.forgetDone(w.now)
	w.check.beforeInstall(p, holdings)
	p.holdings = p.holdings[:0]
	for i := range holdings {
		p.holdings = append(p.holdings, heldGrant{Holding: holdings[i], end: p.clk.when(holdings[i].Expires)})
	}
	kept := p.drains[:0]
	for _, d := range p.drains {
		if p.holds(d) {
			kept = append(kept, d)
		}
	}
	p.drains = kept
	w.check.installed(p)
}

// holds reports whether a drained range is still held and being released.
func (p *process) holds(d drain) bool {
	for i := range p.holdings {
		if p.holdings[i].Releasing && p.holdings[i].Grant.Range == d.rng {
			return true
		}
	}
	return false
}

// release refuses new requests of a range and reports the end of the work in flight.
func (w *World) release(p *process, h *cell.Holding) {
	p.forgetDone(w.now)
	p.drainID++
	p.drains = append(p.drains, drain{id: p.drainID, rng: h.Grant.Range, limit: w.now + toTrue(drainLimit)})
	ev := cell.Released{Range: h.Grant.Range, Token: h.Grant.Token}
	w.queue.push(item{at: p.workEnd(h.Grant.Range, w.now) + netDelay, kind: itemReleased, slot: int8(p.slot), gen: p.gen, id: p.drainID, event: ev})
}

// released reports the end of the work in flight, unless the machine has taken
// up admission again in the meantime.
func (w *World) released(p *process, it *item) {
	for _, d := range p.drains {
		if d.id == it.id {
			w.step(p, it.event)
			return
		}
	}
}

// prepare gets the target ready after a cold start.
func (w *World) prepare(p *process, g *cell.Grant) {
	ev := cell.Prepared{Range: g.Range, Token: g.Token}
	w.queue.push(item{at: w.now + w.upTo(coldStart), kind: itemEvent, slot: int8(p.slot), gen: p.gen, event: ev})
}

// probe lets one request arrive at p. The lease is checked at the last step
// before the request is handed to the target.
func (w *World) probe(slot int) {
	p := &w.procs[slot]
	if !p.alive || p.frozen(w.now) || len(p.holdings) == 0 {
		return
	}
	h := &p.holdings[w.rng.Intn(len(p.holdings))]
	r := h.Grant.Range
	point := r.First
	if w.rng.Intn(2) == 0 {
		point = r.Last
	}
	if h.Releasing || p.refuses(point) || !p.now(w.now).Before(h.Expires) {
		return
	}
	p.forgetDone(w.now)
	w.check.handed(p, h, point)
	if len(p.work) < maxWork {
		p.work = append(p.work, work{point: point, end: w.now + w.upTo(longestWork)})
	}
}

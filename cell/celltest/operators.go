package celltest

import (
	"math/bits"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
)

// roles returns the slots of the leader and the deputy of the newest term.
func (w *World) roles() (leader, deputy NodeSet) {
	return w.instanceSet(w.check.reference.Leader()), w.instanceSet(w.check.reference.Deputy())
}

func (w *World) instanceSet(n ident.Node) NodeSet {
	slot := w.slotOf(n.Instance)
	if slot < 0 {
		return 0
	}
	return Slot(slot)
}

// resolve replaces the roles in s by the slots that have them now.
func (w *World) resolve(s NodeSet) NodeSet {
	leader, deputy := w.roles()
	out := s & (slotMask | Log)
	if s&Leader != 0 {
		out |= leader
	}
	if s&Deputy != 0 {
		out |= deputy
	}
	if s&Rest != 0 {
		out |= (1<<len(w.procs) - 1) &^ (leader | deputy)
	}
	return out
}

// startFault starts fault i of the schedule.
func (w *World) startFault(i int) {
	f := activeFault{Fault: w.schedule.Faults[i], index: i}
	f.From, f.To = w.resolve(f.From), w.resolve(f.To)
	w.result.Counts[f.Kind]++
	w.exemptLeases(&f)
	for set := f.From & slotMask; set != 0; set &= set - 1 {
		if slot := bits.TrailingZeros16(uint16(set)); slot < len(w.procs) {
			w.applyFault(&w.procs[slot], &f)
		}
	}
	if f.Kind == ConfirmLoss {
		w.confirmLosses()
	}
	w.active = append(w.active, f)
	w.rebuildLinks()
	w.queue.push(item{at: w.now + toTrue(f.Dur), kind: itemFaultEnd, id: uint64(i)})
}

// exemptLeases permits the leases of the processes that a fault affects to
// expire.
func (w *World) exemptLeases(f *activeFault) {
	until := w.now + toTrue(f.Dur) + toTrue(FailoverBound)
	affected := f.From
	if f.Kind == Cut || f.Kind == CutBoth {
		affected = w.cutOff(f)
	}
	for slot := range w.procs {
		if affected&Slot(slot) != 0 {
			w.procs[slot].exemptUntil = max(w.procs[slot].exemptUntil, until)
		}
	}
}

// cutOff returns the processes whose leases may expire during a cut: those at
// both ends, except for an end with more than one process. A cut that involves
// the log exempts no process.
func (w *World) cutOff(f *activeFault) NodeSet {
	if (f.From|f.To)&Log != 0 {
		return 0
	}
	affected := NodeSet(0)
	for _, end := range []NodeSet{f.From, f.To} {
		if bits.OnesCount16(uint16(end&slotMask)) <= 1 {
			affected |= end
		}
	}
	return affected
}

// applyFault applies a fault to one process.
func (w *World) applyFault(p *process, f *activeFault) {
	switch f.Kind {
	case Kill:
		w.stop(p)
	case Pause:
		w.freeze(p, toTrue(f.Dur))
	case PauseEffects:
		p.stall = toTrue(f.Dur)
	case Leave:
		w.enqueueEvent(p, cell.Leave{})
		p.leaving, p.leaveAt = true, w.now
	case Unready:
		p.unready = true
		w.enqueueEvent(p, cell.TargetState{Ready: false})
	}
}

// enqueueEvent schedules an event for a process, now or when it is no longer
// frozen.
func (w *World) enqueueEvent(p *process, ev cell.Event) {
	w.queue.push(item{at: w.now, kind: itemEvent, slot: int8(p.slot), gen: p.gen, event: ev})
}

// confirmLosses sends a confirmation of the loss of every exited process to all
// running processes.
func (w *World) confirmLosses() {
	for _, node := range w.exited {
		for slot := range w.procs {
			if p := &w.procs[slot]; p.alive {
				w.enqueueEvent(p, cell.ConfirmLoss{Node: node, Operator: "operator"})
			}
		}
	}
}

// endFault ends fault i of the schedule.
func (w *World) endFault(i int) {
	for k := range w.active {
		if w.active[k].index != i {
			continue
		}
		f := w.active[k]
		w.active = append(w.active[:k], w.active[k+1:]...)
		w.rebuildLinks()
		w.undoFault(&f)
		return
	}
}

// undoFault reverts the effect of a fault on the processes and restarts those
// that it stopped.
func (w *World) undoFault(f *activeFault) {
	for slot := range w.procs {
		p := &w.procs[slot]
		if f.From&Slot(slot) == 0 {
			continue
		}
		switch f.Kind {
		case Kill, Leave:
			w.restart(p)
		case Unready:
			p.unready = false
			w.enqueueEvent(p, cell.TargetState{Ready: true})
		case PauseEffects:
			p.stall = 0
		}
	}
}

// restart starts a new process in the slot of p. It kills a process whose
// planned stop is not complete.
func (w *World) restart(p *process) {
	w.stop(p)
	w.queue.push(item{at: w.now + 1, kind: itemRestart, slot: int8(p.slot)})
}

// rebuildLinks recomputes the state of the network and the log from the active
// faults.
func (w *World) rebuildLinks() {
	w.links = links{}
	for i := range w.active {
		w.links.apply(&w.active[i])
	}
}

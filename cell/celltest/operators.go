package celltest

import (
	"math/bits"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
)

// roles returns the slots of the leader and the deputy of the newest term.
func (w *World) roles() (leader, deputy NodeSet) {
	return w.instanceSet(w.check.fold.Leader()), w.instanceSet(w.check.fold.Deputy())
}

func (w *World) instanceSet(n ident.Node) NodeSet {
	slot := w.slotOf(n.Instance)
	if slot < 0 {
		return 0
	}
	return Slot(slot)
}

// resolve turns roles into slots.
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

// startFault puts fault i of the schedule in force.
func (w *World) startFault(i int) {
	f := activeFault{Fault: w.schedule.Faults[i], index: i}
	f.From, f.To = w.resolve(f.From), w.resolve(f.To)
	w.result.Counts[f.Kind]++
	w.exempt(&f)
	for set := f.From & slotMask; set != 0; set &= set - 1 {
		if slot := bits.TrailingZeros16(uint16(set)); slot < len(w.procs) {
			w.strike(&w.procs[slot], &f)
		}
	}
	if f.Kind == ConfirmLoss {
		w.confirmDead()
	}
	w.active = append(w.active, f)
	w.relink()
	w.queue.push(item{at: w.now + toTrue(f.Dur), kind: itemFaultEnd, id: uint64(i)})
}

// exempt excuses the leases of the processes that a fault hits.
func (w *World) exempt(f *activeFault) {
	until := w.now + toTrue(f.Dur) + toTrue(ServeAgain)
	hit := f.From
	if f.Kind == Cut || f.Kind == CutBoth {
		hit = w.cutOff(f)
	}
	for slot := range w.procs {
		if hit&Slot(slot) != 0 {
			w.procs[slot].exempt = max(w.procs[slot].exempt, until)
		}
	}
}

// cutOff returns the processes whose leases may lapse in a cut: both ends, but
// neither the many members at one end nor a process cut off the log only.
func (w *World) cutOff(f *activeFault) NodeSet {
	if (f.From|f.To)&Log != 0 {
		return 0
	}
	hit := NodeSet(0)
	for _, side := range []NodeSet{f.From, f.To} {
		if bits.OnesCount16(uint16(side&slotMask)) <= 1 {
			hit |= side
		}
	}
	return hit
}

// strike lets a fault hit one process.
func (w *World) strike(p *process, f *activeFault) {
	switch f.Kind {
	case Kill:
		w.stop(p)
	case Pause:
		w.freeze(p, toTrue(f.Dur))
	case PauseEffects:
		p.stall = toTrue(f.Dur)
	case Leave:
		w.tell(p, cell.Leave{})
		p.leaving, p.leaveAt = true, w.now
	case Unready:
		p.unready = true
		w.tell(p, cell.TargetState{Ready: false})
	}
}

// tell hands an event to a process as soon as it runs.
func (w *World) tell(p *process, ev cell.Event) {
	w.queue.push(item{at: w.now, kind: itemEvent, slot: int8(p.slot), gen: p.gen, event: ev})
}

// confirmDead passes the confirmation of every dead process to all others.
func (w *World) confirmDead() {
	for _, node := range w.dead {
		for slot := range w.procs {
			if p := &w.procs[slot]; p.alive {
				w.tell(p, cell.ConfirmLoss{Node: node, Operator: "operator"})
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
		w.relink()
		w.heal(&f)
		return
	}
}

// heal restarts what a fault has stopped.
func (w *World) heal(f *activeFault) {
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
			w.tell(p, cell.TargetState{Ready: true})
		case PauseEffects:
			p.stall = 0
		}
	}
}

// restart starts a new process; a process that has not left by now is killed.
func (w *World) restart(p *process) {
	w.stop(p)
	w.queue.push(item{at: w.now + 1, kind: itemRestart, slot: int8(p.slot)})
}

// relink works the state of the network and the log out of the faults in force.
func (w *World) relink() {
	w.links = links{}
	for i := range w.active {
		w.links.apply(&w.active[i])
	}
}

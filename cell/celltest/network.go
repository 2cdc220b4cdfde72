package celltest

import (
	"strconv"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
)

// slotOf returns the slot of an instance, or -1 if there is none with that name.
func (w *World) slotOf(name ident.Instance) int {
	if len(name) != 3 {
		return -1
	}
	slot, err := strconv.Atoi(string(name[1:]))
	if err != nil || slot >= len(w.procs) {
		return -1
	}
	return slot
}

// send sends a message over the simulated network, which may drop, delay or
// duplicate it.
func (w *World) send(p *process, env *cell.Envelope) {
	to := w.slotOf(env.To.Instance)
	if to < 0 || w.links.cut[p.slot]&Slot(to) != 0 || w.chance(w.links.loss) {
		return
	}
	it := item{kind: itemMessage, slot: int8(to), node: env.To, event: cell.Received{From: p.node, Message: env.Message}}
	it.at = w.now + w.messageDelay()
	w.queue.push(it)
	if w.chance(w.links.duplicate) {
		it.at = w.now + w.messageDelay()
		w.queue.push(it)
	}
}

func (w *World) messageDelay() trueTime {
	return w.upTo(maxNetDelay) + w.upTo(w.links.delay)
}

// deliver passes a message to its receiver. Messages to an earlier process of
// the instance are dropped, as by the real transport, which identifies both
// processes of a connection.
func (w *World) deliver(p *process, it *item) {
	if !p.alive || it.node != p.node {
		return
	}
	if p.frozen(w.now) {
		w.postpone(it, p.wakeAt)
		return
	}
	w.step(p, it.event)
}

package cost

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/measure"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/settings"
	"github.com/parsleystack/parsleystack/wire"
)

const (
	// One-way delays of the virtual network and log.
	networkDelay = 2 * time.Millisecond
	logDelay     = 5 * time.Millisecond
	longPoll     = 5 * time.Second

	// workDelay is the time for which a released range's work goes on and a
	// prepared range's target takes.
	workDelay = 20 * time.Millisecond

	// offsetPrefixBytes is the configuration offset in front of each message.
	offsetPrefixBytes = 3
)

// cellRun drives the cores of one cell on a virtual clock, with a network and
// a log that work, and counts what each member does.
type cellRun struct {
	now     clock.Time
	seq     int
	events  eventQueue
	members []*cellMember
	records []platformlog.Record
	bytes   int // payload of the records
}

// cellMember is one process of the cell and what it has used.
type cellMember struct {
	node     *cell.Node
	id       ident.Node
	stopped  bool
	holdings []cell.Holding
	nextTick clock.Time
	polling  bool
	polled   clock.Time // start of the read that waits
	use      cellUse
}

// cellUse is what one member has used.
type cellUse struct {
	cpu                    time.Duration // of the core and the codec
	sent, received         int           // frames
	sentBytes, recvedBytes int
}

type timedEvent struct {
	at  clock.Time
	seq int
	run func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// cellConfig is the configuration of a member with the default settings.
func cellConfig(member, ranges int) cell.Config {
	lease := settings.Defaults().Lease
	return cell.Config{
		Service: serviceName(0),
		Self: cell.Member{
			Node:     memberNode(0, member),
			Zone:     ident.Zone(fmt.Sprintf("zone-%02d", member%3)),
			Addr:     fmt.Sprintf("10.0.0.%d:7000", member+1),
			Capacity: 20,
			Version:  cell.Version,
		},
		Span:              keyspace.Full(),
		InitialRanges:     ranges,
		LeaseDuration:     lease.Duration,
		HeartbeatInterval: lease.HeartbeatInterval,
		RetryInterval:     lease.RetryInterval,
		DriftPPM:          lease.DriftPPM,
		MaxLogStaleness:   lease.BlindLimit,
		SnapshotInterval:  lease.SnapshotInterval,
		DrainLimit:        lease.DrainLimit,
		Seed:              1,
	}
}

// startCell returns a cell whose members hold the whole span.
func startCell(members, ranges int) (*cellRun, error) {
	r := &cellRun{now: clock.Time(time.Hour)}
	for i := range members {
		cfg := cellConfig(i, ranges)
		node, err := cell.NewNode(cfg)
		if err != nil {
			return nil, fmt.Errorf("cost: %w", err)
		}
		m := &cellMember{node: node, id: cfg.Self.Node}
		r.members = append(r.members, m)
		r.after(0, func() { r.step(m, cell.Tick{}); r.poll(m) })
	}
	_, err := r.until(time.Minute, r.balanced)
	return r, err
}

// until lets time pass until done and returns the time passed.
func (r *cellRun) until(limit time.Duration, done func() bool) (time.Duration, error) {
	start := r.now
	for r.now.Sub(start) < limit {
		if done() {
			return r.now.Sub(start), nil
		}
		r.run(time.Millisecond)
	}
	return 0, fmt.Errorf("cost: the cell did not settle within %v of its clock", limit)
}

// run lets d pass.
func (r *cellRun) run(d time.Duration) {
	end := r.now.Add(d)
	for r.events.Len() > 0 && r.events[0].at <= end {
		e := heap.Pop(&r.events).(timedEvent)
		r.now = max(r.now, e.at)
		e.run()
	}
	r.now = end
}

func (r *cellRun) after(d time.Duration, run func()) {
	r.seq++
	heap.Push(&r.events, timedEvent{at: r.now.Add(d), seq: r.seq, run: run})
}

// held returns the ranges that members hold now.
func (r *cellRun) held() int {
	n := 0
	for _, m := range r.members {
		n += r.heldBy(m)
	}
	return n
}

func (r *cellRun) heldBy(m *cellMember) int {
	n := 0
	for _, h := range m.holdings {
		if !m.stopped && h.Expires > r.now {
			n++
		}
	}
	return n
}

// balanced reports whether every member holds its share.
func (r *cellRun) balanced() bool {
	ranges := cellRanges(r)
	for _, m := range r.members {
		if r.heldBy(m) < ranges/len(r.members) {
			return false
		}
	}
	return r.held() == ranges && r.leader() != nil
}

func cellRanges(r *cellRun) int {
	for _, m := range r.members {
		if v := m.node.View(r.now); v.Leader == m.id {
			return len(v.Assignments)
		}
	}
	return -1
}

func (r *cellRun) leader() *cellMember {
	return r.byRole(func(v cell.View) ident.Node { return v.Leader })
}

func (r *cellRun) deputy() *cellMember {
	return r.byRole(func(v cell.View) ident.Node { return v.Deputy })
}

// byRole returns the running member that names itself in a role.
func (r *cellRun) byRole(role func(cell.View) ident.Node) *cellMember {
	for _, m := range r.members {
		if !m.stopped && role(m.node.View(r.now)) == m.id {
			return m
		}
	}
	return nil
}

// plain returns a running member without a role.
func (r *cellRun) plain() *cellMember {
	leader, deputy := r.leader(), r.deputy()
	for _, m := range r.members {
		if !m.stopped && m != leader && m != deputy {
			return m
		}
	}
	return nil
}

// step hands an event to a member and carries out the effects.
func (r *cellRun) step(m *cellMember, ev cell.Event) {
	if m.stopped {
		return
	}
	start := measure.ThreadCPUTime()
	fx := m.node.Step(ev, r.now)
	m.use.cpu += measure.ThreadCPUTime() - start
	if fx.HoldingsChanged {
		m.holdings = fx.Holdings
	}
	r.carryOut(m, &fx)
	if m.nextTick <= r.now || fx.Wake < m.nextTick {
		m.nextTick = fx.Wake
		r.after(max(fx.Wake.Sub(r.now), 0), func() {
			if m.nextTick <= r.now {
				r.step(m, cell.Tick{})
			}
		})
	}
}

func (r *cellRun) carryOut(m *cellMember, fx *cell.Effects) {
	for _, h := range fx.Release {
		r.after(workDelay, func() { r.step(m, cell.Released{Range: h.Grant.Range, Token: h.Grant.Token}) })
	}
	for _, g := range fx.Prepare {
		r.after(workDelay, func() { r.step(m, cell.Prepared{Range: g.Range, Token: g.Token}) })
	}
	for _, e := range fx.Messages {
		r.send(m, e)
	}
	for _, a := range fx.Appends {
		r.after(logDelay, func() { r.append(m, a) })
	}
	if fx.ReadLog {
		r.read(m, r.now)
	}
}

// send encodes a message as the transport does and delivers it.
func (r *cellRun) send(m *cellMember, e cell.Envelope) {
	start := measure.ThreadCPUTime()
	body := e.Message.AppendTo(make([]byte, offsetPrefixBytes))
	frame, err := wire.AppendRaw(nil, wire.KindCellMessage, 0, body, wire.DefaultMaxFrame)
	m.use.cpu += measure.ThreadCPUTime() - start
	if err != nil {
		panic("cost: a message of the core exceeds the frame limit: " + err.Error())
	}
	m.use.sent++
	m.use.sentBytes += len(frame)
	for _, to := range r.members {
		if to.id == e.To {
			r.after(networkDelay, func() { r.deliver(m.id, to, frame, body[offsetPrefixBytes:]) })
		}
	}
}

func (r *cellRun) deliver(from ident.Node, to *cellMember, frame, body []byte) {
	if to.stopped {
		return
	}
	start := measure.ThreadCPUTime()
	message, err := cell.DecodeMessage(body)
	to.use.cpu += measure.ThreadCPUTime() - start
	if err != nil {
		panic("cost: a message of the core can't be decoded: " + err.Error())
	}
	to.use.received++
	to.use.recvedBytes += len(frame)
	r.step(to, cell.Received{From: from, Message: message})
}

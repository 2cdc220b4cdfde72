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

	// rangeWorkDelay is the time that requests of a released range take to finish,
	// and that a target takes to prepare for a range.
	rangeWorkDelay = 20 * time.Millisecond

	// offsetPrefixBytes is the size of the configuration offset before each message.
	offsetPrefixBytes = 3
)

// cellSim simulates one cell on a virtual clock, with a network and a log without
// faults, and counts the usage of each member.
type cellSim struct {
	now          clock.Time
	seq          int
	events       eventQueue
	members      []*cellMember
	records      []platformlog.Record
	payloadBytes int // payload of the records
}

// cellMember is one process of the cell with its usage.
type cellMember struct {
	node        *cell.Node
	id          ident.Node
	stopped     bool
	holdings    []cell.Holding
	nextTick    clock.Time
	polling     bool
	pollStarted clock.Time // start of the current long poll
	usage       memberUsage
}

// memberUsage is the resource usage of one member.
type memberUsage struct {
	cpu                      time.Duration // of package cell and its codec
	sent, received           int           // frames
	sentBytes, receivedBytes int
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

// cellConfig returns the configuration of a member with the default settings.
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
		MaxLogStaleness:   lease.MaxLogStaleness,
		SnapshotInterval:  lease.SnapshotInterval,
		DrainLimit:        lease.DrainLimit,
		Seed:              1,
	}
}

// startCell starts a cell and advances its clock until its members hold all
// ranges in equal shares.
func startCell(members, ranges int) (*cellSim, error) {
	r := &cellSim{now: clock.Time(time.Hour)}
	for i := range members {
		cfg := cellConfig(i, ranges)
		node, err := cell.NewNode(cfg)
		if err != nil {
			return nil, fmt.Errorf("cost: %w", err)
		}
		m := &cellMember{node: node, id: cfg.Self.Node}
		r.members = append(r.members, m)
		r.schedule(0, func() { r.step(m, cell.Tick{}); r.poll(m) })
	}
	_, err := r.advanceUntil(time.Minute, r.balanced)
	return r, err
}

// advanceUntil advances the clock until done returns true and returns the time that
// passed. It fails if that takes longer than limit.
func (r *cellSim) advanceUntil(limit time.Duration, done func() bool) (time.Duration, error) {
	start := r.now
	for r.now.Sub(start) < limit {
		if done() {
			return r.now.Sub(start), nil
		}
		r.advance(time.Millisecond)
	}
	return 0, fmt.Errorf("cost: the cell did not settle within %v on the virtual clock", limit)
}

// advance advances the clock by d and runs the events that are due.
func (r *cellSim) advance(d time.Duration) {
	end := r.now.Add(d)
	for r.events.Len() > 0 && r.events[0].at <= end {
		e := heap.Pop(&r.events).(timedEvent)
		r.now = max(r.now, e.at)
		e.run()
	}
	r.now = end
}

// schedule runs an event after d.
func (r *cellSim) schedule(d time.Duration, run func()) {
	r.seq++
	heap.Push(&r.events, timedEvent{at: r.now.Add(d), seq: r.seq, run: run})
}

// heldCount returns the number of ranges that members hold now.
func (r *cellSim) heldCount() int {
	n := 0
	for _, m := range r.members {
		n += r.heldCountOf(m)
	}
	return n
}

func (r *cellSim) heldCountOf(m *cellMember) int {
	n := 0
	for _, h := range m.holdings {
		if !m.stopped && h.Expires > r.now {
			n++
		}
	}
	return n
}

// balanced reports whether there is a leader, all ranges are held, and every member
// holds its share.
func (r *cellSim) balanced() bool {
	ranges := assignedCount(r)
	for _, m := range r.members {
		if r.heldCountOf(m) < ranges/len(r.members) {
			return false
		}
	}
	return r.heldCount() == ranges && r.leader() != nil
}

// assignedCount returns the number of ranges assigned in the view of the leader, -1
// if there is no leader.
func assignedCount(r *cellSim) int {
	for _, m := range r.members {
		if v := m.node.View(r.now); v.Leader == m.id {
			return len(v.Assignments)
		}
	}
	return -1
}

func (r *cellSim) leader() *cellMember {
	return r.byRole(func(v cell.View) ident.Node { return v.Leader })
}

func (r *cellSim) deputy() *cellMember {
	return r.byRole(func(v cell.View) ident.Node { return v.Deputy })
}

// byRole returns the running member that has a role in its own view.
func (r *cellSim) byRole(role func(cell.View) ident.Node) *cellMember {
	for _, m := range r.members {
		if !m.stopped && role(m.node.View(r.now)) == m.id {
			return m
		}
	}
	return nil
}

// memberWithoutRole returns a running member that is neither leader nor deputy.
func (r *cellSim) memberWithoutRole() *cellMember {
	leader, deputy := r.leader(), r.deputy()
	for _, m := range r.members {
		if !m.stopped && m != leader && m != deputy {
			return m
		}
	}
	return nil
}

// step passes an event to a member, applies the effects, and schedules the next
// tick.
func (r *cellSim) step(m *cellMember, ev cell.Event) {
	if m.stopped {
		return
	}
	start := measure.ThreadCPUTime()
	fx := m.node.Step(ev, r.now)
	m.usage.cpu += measure.ThreadCPUTime() - start
	if fx.HoldingsChanged {
		m.holdings = fx.Holdings
	}
	r.applyEffects(m, &fx)
	if m.nextTick <= r.now || fx.Wake < m.nextTick {
		m.nextTick = fx.Wake
		r.schedule(max(fx.Wake.Sub(r.now), 0), func() {
			if m.nextTick <= r.now {
				r.step(m, cell.Tick{})
			}
		})
	}
}

func (r *cellSim) applyEffects(m *cellMember, fx *cell.Effects) {
	for _, h := range fx.Release {
		r.schedule(rangeWorkDelay, func() { r.step(m, cell.Released{Range: h.Grant.Range, Token: h.Grant.Token}) })
	}
	for _, g := range fx.Prepare {
		r.schedule(rangeWorkDelay, func() { r.step(m, cell.Prepared{Range: g.Range, Token: g.Token}) })
	}
	for _, e := range fx.Messages {
		r.send(m, e)
	}
	for _, a := range fx.Appends {
		r.schedule(logDelay, func() { r.appendRecord(m, a) })
	}
	if fx.ReadLog {
		r.readLog(m, r.now)
	}
}

// send encodes a message as the transport does and delivers it.
func (r *cellSim) send(m *cellMember, e cell.Envelope) {
	start := measure.ThreadCPUTime()
	body := e.Message.AppendTo(make([]byte, offsetPrefixBytes))
	frame, err := wire.AppendRaw(nil, wire.KindCellMessage, 0, body, wire.DefaultMaxFrame)
	m.usage.cpu += measure.ThreadCPUTime() - start
	if err != nil {
		panic("cost: a cell message exceeds the frame limit: " + err.Error())
	}
	m.usage.sent++
	m.usage.sentBytes += len(frame)
	for _, to := range r.members {
		if to.id == e.To {
			r.schedule(networkDelay, func() { r.deliver(m.id, to, frame, body[offsetPrefixBytes:]) })
		}
	}
}

func (r *cellSim) deliver(from ident.Node, to *cellMember, frame, body []byte) {
	if to.stopped {
		return
	}
	start := measure.ThreadCPUTime()
	message, err := cell.DecodeMessage(body)
	to.usage.cpu += measure.ThreadCPUTime() - start
	if err != nil {
		panic("cost: cannot decode a cell message: " + err.Error())
	}
	to.usage.received++
	to.usage.receivedBytes += len(frame)
	r.step(to, cell.Received{From: from, Message: message})
}

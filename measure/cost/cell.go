package cost

import (
	"fmt"
	"runtime"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/measure"
)

const (
	// warmUp is the time that a cell runs before it is measured, and after a loss
	// before the appended records are counted.
	warmUp = 10 * time.Second

	// steadyDuration is the time for which a settled cell is measured.
	steadyDuration = 2 * time.Minute

	// settleLimit is the maximum time after a loss until all ranges are held again.
	settleLimit = time.Minute

	rangesPerMember = 16
)

var (
	cellMembers  = []int{3, 4, 5, 6, cell.MaxMembers}
	memberRanges = []int{4, 16, 64, 128, 256}
)

// Cell measures the resource usage of the members of a cell in steady state, and
// the recovery time and log records after the loss of one member. It simulates the
// cell on a virtual clock; CPU times are real and cover package cell and its codec.
func Cell(facts measure.Facts) ([]*measure.Series, error) {
	runtime.LockOSThread() // for measure.ThreadCPUTime
	defer runtime.UnlockOSThread()
	steady, err := steadyStateSeries(facts)
	if err != nil {
		return nil, err
	}
	loss, err := lossByMembers(facts)
	if err != nil {
		return nil, err
	}
	records, err := lossByRanges(facts)
	if err != nil {
		return nil, err
	}
	return append(append(steady, loss...), records...), nil
}

// roleSeries are the series of the steady-state usage of one role.
type roleSeries struct{ bytes, messages, cpu *measure.Series }

func newRoleSeries(role, by string, facts measure.Facts) roleSeries {
	what := " of a " + role + " in one second without changes, by " + by
	return roleSeries{
		bytes:    &measure.Series{Name: "cell-" + role + "-bytes", Quantity: "bytes of frames sent and received" + what, Unit: "B", Facts: facts},
		messages: &measure.Series{Name: "cell-" + role + "-messages", Quantity: "frames sent and received" + what, Unit: "1", Facts: facts},
		cpu:      &measure.Series{Name: "cell-" + role + "-cpu", Quantity: "processor time of core and codec" + what, Unit: "ns", Facts: facts},
	}
}

func (s roleSeries) add(size int, u memberUsage) {
	perSecond := 1 / steadyDuration.Seconds()
	s.bytes.Add(float64(size), float64(u.sentBytes+u.receivedBytes)*perSecond)
	s.messages.Add(float64(size), float64(u.sent+u.received)*perSecond)
	s.cpu.Add(float64(size), float64(u.cpu)*perSecond)
}

func (s roleSeries) list() []*measure.Series { return []*measure.Series{s.bytes, s.messages, s.cpu} }

func steadyStateSeries(facts measure.Facts) ([]*measure.Series, error) {
	leader := newRoleSeries("leader", "members", facts)
	deputy := newRoleSeries("deputy", "members", facts)
	member := newRoleSeries("member", "ranges held", facts)
	for _, n := range cellMembers {
		r, err := startCell(n, n*rangesPerMember)
		if err != nil {
			return nil, err
		}
		r.advance(warmUp)
		used := r.usageOver(steadyDuration)
		leader.add(n, used[r.leader()])
		deputy.add(n, used[r.deputy()])
	}
	for _, n := range memberRanges {
		r, err := startCell(4, 4*n)
		if err != nil {
			return nil, err
		}
		r.advance(warmUp)
		member.add(n, r.usageOver(steadyDuration)[r.memberWithoutRole()])
	}
	return append(append(leader.list(), deputy.list()...), member.list()...), nil
}

// lossByMembers measures, for each role, the time until every range is held again
// after the loss of a member with that role.
func lossByMembers(facts measure.Facts) ([]*measure.Series, error) {
	roles := []struct {
		name string
		pick func(*cellSim) *cellMember
	}{
		{"member", (*cellSim).memberWithoutRole},
		{"leader", (*cellSim).leader},
		{"deputy", (*cellSim).deputy},
	}
	var all []*measure.Series
	for _, role := range roles {
		s := &measure.Series{
			Name:     "cell-" + role.name + "-loss-time",
			Quantity: "time until every range of the cell is held again after the loss of its " + role.name + " on the virtual clock, by members",
			Unit:     "ms",
			Facts:    facts,
		}
		for _, n := range cellMembers {
			l, err := simulateLoss(n, n*rangesPerMember, role.pick)
			if err != nil {
				return nil, fmt.Errorf("cost: loss of the %s of %d: %w", role.name, n, err)
			}
			s.Add(float64(n), float64(l.recoveryTime)/float64(time.Millisecond))
		}
		all = append(all, s)
	}
	return all, nil
}

// loss is the cost of the loss of a member.
type loss struct {
	recoveryTime time.Duration // time until every range is held again
	records      int           // records appended
	payloadBytes int           // total payload of these records
}

// simulateLoss stops a member and runs the cell until it has recovered.
func simulateLoss(members, ranges int, pick func(*cellSim) *cellMember) (loss, error) {
	r, err := startCell(members, ranges)
	if err != nil {
		return loss{}, err
	}
	r.advance(warmUp)
	records, bytes := len(r.records), r.payloadBytes
	r.stop(pick(r))
	recoveryTime, err := r.advanceUntil(settleLimit, func() bool { return r.heldCount() == ranges })
	if err != nil {
		return loss{}, err
	}
	r.advance(warmUp)
	return loss{recoveryTime: recoveryTime, records: len(r.records) - records, payloadBytes: r.payloadBytes - bytes}, nil
}

// lossByRanges measures the records that the loss of a member that is neither
// leader nor deputy appends to the log, and the size of the cell's state.
func lossByRanges(facts measure.Facts) ([]*measure.Series, error) {
	records := &measure.Series{Name: "cell-loss-records", Quantity: "records appended after the loss of a member, by ranges that it held", Unit: "1", Facts: facts}
	bytes := &measure.Series{Name: "cell-loss-bytes", Quantity: "payload appended after the loss of a member, by ranges that it held", Unit: "B", Facts: facts}
	snapshot := &measure.Series{Name: "cell-snapshot-bytes", Quantity: "snapshot record of a cell, by ranges", Unit: "B", Facts: facts}
	memory := &measure.Series{Name: "cell-ledger-memory-bytes", Quantity: "heap of the state of a cell's stream, by ranges", Unit: "B", Facts: facts}
	for _, n := range memberRanges {
		l, err := simulateLoss(4, 4*n, (*cellSim).memberWithoutRole)
		if err != nil {
			return nil, fmt.Errorf("cost: loss of a member with %d ranges: %w", n, err)
		}
		records.Add(float64(n), float64(l.records))
		bytes.Add(float64(n), float64(l.payloadBytes))
		r, err := startCell(4, 4*n)
		if err != nil {
			return nil, err
		}
		r.advance(warmUp)
		snapshot.Add(float64(4*n), snapshotBytes(r))
		memory.Add(float64(4*n), heapOf(func() any { return ledgerOf(r) }))
		runtime.KeepAlive(r)
	}
	return []*measure.Series{records, bytes, snapshot, memory}, nil
}

// ledgerOf replays the records of a cell into a new ledger.
func ledgerOf(r *cellSim) *cell.Ledger {
	l := cell.NewLedger(serviceName(0), keyspace.Full())
	for _, record := range r.records {
		l.Apply(record.Offset, record.Time, record.Payload)
	}
	return l
}

// snapshotBytes returns the size of a snapshot record of a cell's state.
func snapshotBytes(r *cellSim) float64 {
	l := ledgerOf(r)
	state := cell.LedgerState{
		Term:         l.Term(),
		RolesVersion: l.Term(),
		Leader:       l.Leader(),
		Deputy:       l.Deputy(),
		Grants:       l.Assignments(),
	}
	for _, m := range l.Members() {
		state.Members = append(state.Members, cell.MemberState{Member: m, Offset: 1})
	}
	record := cell.Record{Snapshot: &cell.Snapshot{Nonce: 1, Covered: uint64(l.AppliedOffset()), State: state}}
	return float64(len(record.AppendTo(nil)))
}

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
	// warmUp is the time after the start of a cell before it is measured.
	warmUp = 10 * time.Second

	// steadyTime is the time for which a settled cell is measured.
	steadyTime = 2 * time.Minute

	// settleLimit bounds the time until all ranges are held again.
	settleLimit = time.Minute

	rangesPerMember = 16
)

var (
	cellMembers  = []int{3, 4, 5, 6, cell.MaxMembers}
	memberRanges = []int{4, 16, 64, 128, 256}
)

// Cell measures what the members of a cell use while nothing changes, and what
// the loss of one of them takes. Its clock is virtual; processor times are
// those of the core and the codec.
func Cell(facts measure.Facts) ([]*measure.Series, error) {
	runtime.LockOSThread() // for measure.ThreadCPUTime
	defer runtime.UnlockOSThread()
	steady, err := steadyCell(facts)
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

// roleSeries are the steady needs of one role.
type roleSeries struct{ bytes, messages, cpu *measure.Series }

func newRoleSeries(role, by string, facts measure.Facts) roleSeries {
	what := " of a " + role + " in one second without changes, by " + by
	return roleSeries{
		bytes:    &measure.Series{Name: "cell-" + role + "-bytes", Quantity: "bytes of frames sent and received" + what, Unit: "B", Facts: facts},
		messages: &measure.Series{Name: "cell-" + role + "-messages", Quantity: "frames sent and received" + what, Unit: "1", Facts: facts},
		cpu:      &measure.Series{Name: "cell-" + role + "-cpu", Quantity: "processor time of core and codec" + what, Unit: "ns", Facts: facts},
	}
}

func (s roleSeries) add(size int, u cellUse) {
	perSecond := 1 / steadyTime.Seconds()
	s.bytes.Add(float64(size), float64(u.sentBytes+u.recvedBytes)*perSecond)
	s.messages.Add(float64(size), float64(u.sent+u.received)*perSecond)
	s.cpu.Add(float64(size), float64(u.cpu)*perSecond)
}

func (s roleSeries) all() []*measure.Series { return []*measure.Series{s.bytes, s.messages, s.cpu} }

func steadyCell(facts measure.Facts) ([]*measure.Series, error) {
	leader := newRoleSeries("leader", "members", facts)
	deputy := newRoleSeries("deputy", "members", facts)
	member := newRoleSeries("member", "ranges held", facts)
	for _, n := range cellMembers {
		r, err := startCell(n, n*rangesPerMember)
		if err != nil {
			return nil, err
		}
		r.run(warmUp)
		used := r.steady(steadyTime)
		leader.add(n, used[r.leader()])
		deputy.add(n, used[r.deputy()])
	}
	for _, n := range memberRanges {
		r, err := startCell(4, 4*n)
		if err != nil {
			return nil, err
		}
		r.run(warmUp)
		member.add(n, r.steady(steadyTime)[r.plain()])
	}
	return append(append(leader.all(), deputy.all()...), member.all()...), nil
}

// lossByMembers measures the time until every range is held again after the
// loss of a member of each role.
func lossByMembers(facts measure.Facts) ([]*measure.Series, error) {
	roles := []struct {
		name string
		pick func(*cellRun) *cellMember
	}{
		{"member", (*cellRun).plain},
		{"leader", (*cellRun).leader},
		{"deputy", (*cellRun).deputy},
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
			l, err := lose(n, n*rangesPerMember, role.pick)
			if err != nil {
				return nil, fmt.Errorf("cost: loss of the %s of %d: %w", role.name, n, err)
			}
			s.Add(float64(n), float64(l.unheld)/float64(time.Millisecond))
		}
		all = append(all, s)
	}
	return all, nil
}

// loss is what the loss of a member took.
type loss struct {
	unheld  time.Duration // time until every range is held again
	records int           // records appended
	bytes   int           // payload of these
}

// lose stops a member and lets the cell settle.
func lose(members, ranges int, pick func(*cellRun) *cellMember) (loss, error) {
	r, err := startCell(members, ranges)
	if err != nil {
		return loss{}, err
	}
	r.run(warmUp)
	records, bytes := len(r.records), r.bytes
	r.stop(pick(r))
	unheld, err := r.until(settleLimit, func() bool { return r.held() == ranges })
	if err != nil {
		return loss{}, err
	}
	r.run(warmUp)
	return loss{unheld: unheld, records: len(r.records) - records, bytes: r.bytes - bytes}, nil
}

// lossByRanges measures what the loss of a plain member appends to the log.
func lossByRanges(facts measure.Facts) ([]*measure.Series, error) {
	records := &measure.Series{Name: "cell-loss-records", Quantity: "records appended after the loss of a member, by ranges that it held", Unit: "1", Facts: facts}
	bytes := &measure.Series{Name: "cell-loss-bytes", Quantity: "payload appended after the loss of a member, by ranges that it held", Unit: "B", Facts: facts}
	snapshot := &measure.Series{Name: "cell-snapshot-bytes", Quantity: "snapshot record of a cell, by ranges", Unit: "B", Facts: facts}
	memory := &measure.Series{Name: "cell-ledger-memory-bytes", Quantity: "heap of the state of a cell's stream, by ranges", Unit: "B", Facts: facts}
	for _, n := range memberRanges {
		l, err := lose(4, 4*n, (*cellRun).plain)
		if err != nil {
			return nil, fmt.Errorf("cost: loss of a member with %d ranges: %w", n, err)
		}
		records.Add(float64(n), float64(l.records))
		bytes.Add(float64(n), float64(l.bytes))
		r, err := startCell(4, 4*n)
		if err != nil {
			return nil, err
		}
		r.run(warmUp)
		snapshot.Add(float64(4*n), snapshotBytes(r))
		memory.Add(float64(4*n), heapOf(func() any { return ledgerOf(r) }))
		runtime.KeepAlive(r)
	}
	return []*measure.Series{records, bytes, snapshot, memory}, nil
}

func ledgerOf(r *cellRun) *cell.Ledger {
	l := cell.NewLedger(serviceName(0), keyspace.Full())
	for _, record := range r.records {
		l.Apply(record.Offset, record.Time, record.Payload)
	}
	return l
}

// snapshotBytes returns the size of the record that repeats a cell's state.
func snapshotBytes(r *cellRun) float64 {
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

package cell

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

type simProc struct {
	node          *Node
	id            ident.Node
	alive         bool
	frozen        bool
	held          []Holding
	pendingEvents []Event // events received while frozen
	nextTick      clock.Time
	left          bool
	err           error
	prev          string
	expirations   int // times that held grants expired
	drift         int64
}

// local returns the process's clock reading at the true time t.
func (p *simProc) local(t clock.Time) clock.Time {
	elapsed := t - clock.Time(time.Hour)
	return t + elapsed*clock.Time(p.drift)/1_000_000 + clock.Time(p.drift)*clock.Time(time.Second)
}

// simSent is a message that was sent.
type simSent struct {
	from, to ident.Node
	size     int
}

type simEvent struct {
	at  clock.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

package cell

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// Node is the state machine of one member of a cell.
type Node struct {
	cfg    Config
	timing timing
	rng    *rand.Rand

	now      clock.Time
	lastStep clock.Time
	out      Effects

	ledger   *Ledger
	reader   reader
	appends  appends
	follower follower
	deputy   deputy
	recovery recovery
	leader   *leader // nil unless this process leads the cell

	ready   bool
	leaving bool
	left    bool
	emitted []Holding
}

// NewNode returns the state machine of a process that has just started. Its
// target counts as ready until a TargetState says otherwise.
func NewNode(cfg Config) (*Node, error) {
	if err := checkConfig(cfg); err != nil {
		return nil, err
	}
	self := cfg.Self.Node
	seed := uint64(cfg.Seed) ^ xxhash.Sum64String(string(self.Instance))
	n := &Node{
		cfg:    cfg,
		timing: newTiming(cfg),
		rng:    rand.New(rand.NewPCG(seed, uint64(self.Incarnation))),
		ledger: NewLedger(cfg.Service, cfg.Span),
		ready:  true,
	}
	n.ledger.anyBase = n.broken(FaultAcceptAnyVersion)
	n.reader.next = 1
	n.reader.snapshotShare = n.jitter()
	n.follower.nextRequest = n.rng.Uint32()
	n.recovery.jitter = time.Duration(n.jitter() * float64(n.timing.lease))
	return n, nil
}

func checkConfig(cfg Config) error {
	switch {
	case cfg.Self.Node.IsZero():
		return errors.New("cell: Config.Self is empty; set the instance and its incarnation")
	case cfg.InitialRanges < 1:
		return errors.New("cell: Config.InitialRanges is less than 1; set the number of ranges of the cell")
	case cfg.LeaseDuration <= 0, cfg.HeartbeatInterval <= 0, cfg.RetryInterval <= 0, cfg.MaxLogStaleness <= 0:
		return errors.New("cell: a duration of Config is missing; set LeaseDuration, HeartbeatInterval, RetryInterval and BlindLimit")
	case 2*(cfg.HeartbeatInterval+cfg.RetryInterval) > cfg.LeaseDuration:
		return errors.New("cell: Config.LeaseDuration is too short; set it to twice HeartbeatInterval and RetryInterval or more")
	case cfg.DriftPPM < 0 || cfg.DriftPPM >= partsPerMillion/10:
		return errors.New("cell: Config.DriftPPM is out of range; set the drift of the clocks in parts per million")
	}
	return nil
}

// Step handles one event at the local time now and returns what the driver
// must do. The clock must not run backwards between calls.
func (n *Node) Step(ev Event, now clock.Time) Effects {
	n.begin(now)
	if n.left {
		return n.out
	}
	n.handle(ev)
	if n.superseded() {
		return n.finish()
	}
	n.runAnnounce()
	n.runLosses()
	n.runFollower()
	n.runDeputy()
	n.runRecovery()
	n.runLeader()
	n.runSnapshot()
	return n.finish()
}

func (n *Node) begin(now clock.Time) {
	n.now = max(now, n.now)
	n.out = Effects{Wake: n.now.Add(TickInterval)}
	if n.lastStep == clock.Never {
		n.lastStep = n.now
	}
	if n.now.Sub(n.lastStep) > n.timing.claimTimeout/2 {
		n.resumed()
	}
}

// resumed restarts the timers that judge others, because the silence may have
// been this process's own pause.
func (n *Node) resumed() {
	n.deputy.lastHeard = n.now
	n.deputy.stalled = 0
	n.follower.heard = n.now
	if n.leader != nil {
		n.leader.resumed(n.now)
	}
}

func (n *Node) finish() Effects {
	n.emitHoldings()
	n.lastStep = n.now
	out := n.out
	n.out = Effects{}
	return out
}

func (n *Node) handle(ev Event) {
	switch ev := ev.(type) {
	case Tick:
	case Received:
		n.receive(ev.From, ev.Message)
	case Appended:
		n.appended(ev)
	case LogRead:
		n.readLog(ev)
	case LogTruncated:
		n.readGap(ev)
	case Released:
		n.releasedLocally(ev)
	case Prepared:
		n.preparedLocally(ev)
	case Load:
		n.follower.load = ev.Ranges
	case TargetState:
		if n.ready != ev.Ready {
			n.ready = ev.Ready
			n.follower.nextRenew = n.now
		}
	case Leave:
		n.leaving = true
		n.follower.nextRenew = n.now
	case ConfirmLoss:
		n.recovery.losses = append(n.recovery.losses, ev)
	}
}

func (n *Node) receive(from ident.Node, m Message) {
	switch {
	case from == n.self() || from.IsZero():
	case m.Renew != nil:
		n.onRenew(from, m.Renew)
	case m.Lease != nil:
		n.onLease(from, m.Lease)
	case m.Lead != nil:
		n.onLead(from, m.Lead)
	case m.Heartbeat != nil:
		n.onHeartbeat(from, m.Heartbeat)
	case m.Pledge != nil:
		n.onPledge(from, m.Pledge)
	case m.Handover != nil:
		n.onHandover(from, m.Handover)
	case m.Prepare != nil:
		n.onPrepare(from, m.Prepare)
	case m.PrepareDone != nil:
		n.onPrepareDone(from, m.PrepareDone)
	case m.Release != nil:
		n.onRelease(from, m.Release)
	case m.ReleaseDone != nil:
		n.onReleaseDone(from, m.ReleaseDone)
	}
}

// superseded gives everything up once a newer process of the instance has been
// announced, or an operator has declared this one lost.
func (n *Node) superseded() bool {
	if !n.ledger.ended(n.self()) {
		return false
	}
	n.leader = nil
	n.deputy = deputy{}
	n.follower.grants = nil
	n.follower.leader = ident.Node{}
	n.out.Err = &SupersededError{Self: n.self()}
	n.left = n.leaving && n.drained()
	n.out.Left = n.left
	return true
}

func (n *Node) self() ident.Node { return n.cfg.Self.Node }

func (n *Node) broken(f Fault) bool { return n.cfg.Fault == f }

// jitter returns a number in [0, 1).
func (n *Node) jitter() float64 { return n.rng.Float64() }

// wake asks for a tick at t at the latest.
func (n *Node) wake(t clock.Time) {
	if t > n.now && t < n.out.Wake {
		n.out.Wake = t
	}
}

// send queues a message if the receiver's address is known.
func (n *Node) send(to ident.Node, m Message) {
	member := n.ledger.announced(to)
	if member == nil {
		return
	}
	n.out.Messages = append(n.out.Messages, Envelope{To: to, Addr: member.Addr, Message: m})
}

func (n *Node) audit(entries ...AuditEntry) {
	n.out.Audit = append(n.out.Audit, entries...)
}

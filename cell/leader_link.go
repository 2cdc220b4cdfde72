package cell

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// heartbeatHistory is the number of heartbeats whose send time a leader keeps.
const heartbeatHistory = 16

// deputyLink is the state of the leader's heartbeats to one deputy.
type deputyLink struct {
	node          ident.Node
	since         clock.Time
	requests      [heartbeatHistory]sentRequest
	sent          clock.Time // newest heartbeat
	revision      uint32     // revision that it carried
	ackedAt       clock.Time // send time of the newest heartbeat that was answered
	ackedRequest  uint32     // its Request
	ackedRevision uint32     // newest revision that the deputy has stored
	ackedSeq      uint64     // newest change that the deputy has stored
}

// deputies returns the processes that must all extend the leader's lease: the
// deputy that the ledger names and those of DeputyChange records of indeterminate
// outcome.
func (n *Node) deputies() []ident.Node {
	var nodes []ident.Node
	add := func(node ident.Node) {
		if !node.IsZero() && !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	if n.faultEnabled(FaultIgnoreIndeterminateDeputy) && len(n.appends.deputyChanges) > 0 {
		add(n.appends.deputyChanges[0].deputy)
		return nodes
	}
	add(n.ledger.Deputy())
	for _, u := range n.appends.deputyChanges {
		add(u.deputy)
	}
	return nodes
}

// syncLinks maintains one link to each deputy.
func (n *Node) syncLinks() {
	l := n.leader
	nodes := n.deputies()
	l.links = slices.DeleteFunc(l.links, func(k *deputyLink) bool { return !slices.Contains(nodes, k.node) })
	for _, node := range nodes {
		if l.link(node) == nil {
			l.links = append(l.links, &deputyLink{node: node, since: n.now})
		}
	}
}

func (l *leader) link(node ident.Node) *deputyLink {
	for _, k := range l.links {
		if k.node == node {
			return k
		}
	}
	return nil
}

// updateLeaderLease extends the leader's lease up to the earliest end of the
// extensions of all deputies. Without a deputy, the lease depends only on the
// last read of the log.
func (n *Node) updateLeaderLease() {
	l := n.leader
	length := n.timing.minusDrift(n.timing.lease)
	if n.hasNoDeputy() {
		l.leaderLeaseEnd = max(l.leaderLeaseEnd, min(n.now.Add(length), n.reader.lastTail.Add(n.timing.minusDrift(n.timing.maxLogStaleness))))
		return
	}
	end := clock.Never
	for i, k := range l.links {
		extended := clock.Never
		if k.ackedAt != clock.Never {
			extended = k.ackedAt.Add(length)
		}
		if i == 0 || extended < end {
			end = extended
		}
	}
	l.leaderLeaseEnd = max(l.leaderLeaseEnd, end)
}

// hasNoDeputy reports whether the leader has no deputy and no DeputyChange of
// indeterminate outcome.
func (n *Node) hasNoDeputy() bool {
	return n.ledger.Deputy().IsZero() && len(n.appends.deputyChanges) == 0
}

// replicatedSeq returns the newest change that all deputies have stored.
func (n *Node) replicatedSeq() (uint64, bool) {
	l := n.leader
	if len(l.links) == 0 {
		return 0, false
	}
	seq := l.links[0].ackedSeq
	for _, k := range l.links {
		seq = min(seq, k.ackedSeq)
	}
	return seq, true
}

// sendHeartbeats sends the heartbeats that are due: at the heartbeat interval,
// sooner if one is unanswered, and immediately after a change.
func (n *Node) sendHeartbeats() {
	l := n.leader
	n.updateProposedDeputy()
	for _, k := range l.links {
		due := k.sent.Add(n.timing.heartbeat)
		if k.ackedAt < k.sent {
			due = k.sent.Add(n.heartbeatRetry(k))
		}
		if k.sent != clock.Never && n.now < due && k.revision == l.revision {
			n.wake(due)
			continue
		}
		n.sendHeartbeat(k)
	}
}

// heartbeatRetry returns the retry interval for an unanswered heartbeat. After a
// lease duration without answers it is the heartbeat interval.
func (n *Node) heartbeatRetry(k *deputyLink) time.Duration {
	if n.now.Sub(max(k.ackedAt, k.since)) > n.timing.lease {
		return n.timing.heartbeat
	}
	return n.timing.retry
}

func (n *Node) sendHeartbeat(k *deputyLink) {
	l := n.leader
	l.nextRequest++
	if l.nextRequest == 0 {
		l.nextRequest = 1
	}
	m := &Heartbeat{Term: l.term, Request: l.nextRequest, Revision: l.revision, Seq: l.table.seq, SeenExtension: k.ackedRequest}
	if l.activation.active {
		m.Flags |= heartbeatActive
	}
	if k.ackedRevision < l.revision {
		m.Flags |= heartbeatState
		m.State = l.grants()
		m.ProposedDeputy = l.proposedDeputy
	}
	k.requests[l.nextRequest%heartbeatHistory] = sentRequest{request: l.nextRequest, sent: n.now}
	k.sent = n.now
	k.revision = l.revision
	n.wake(n.now.Add(n.timing.retry))
	n.send(k.node, Message{Heartbeat: m})
}

// onLeaseExtension records a deputy's extension of the leader's lease.
func (n *Node) onLeaseExtension(from ident.Node, m *LeaseExtension) {
	l := n.leader
	if l == nil || m.Term != l.term {
		return
	}
	k := l.link(from)
	if k == nil {
		return
	}
	for _, r := range k.requests {
		if r.request == m.Request && r.sent != clock.Never {
			if r.sent > k.ackedAt {
				k.ackedAt = r.sent
				k.ackedRequest = r.request
			}
			k.ackedRevision = max(k.ackedRevision, m.Revision)
			k.ackedSeq = max(k.ackedSeq, m.Seq)
			return
		}
	}
}

package cell

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// linkHistory is the number of heartbeats whose send time a leader remembers.
const linkHistory = 16

// link is the leader's exchange with one deputy.
type link struct {
	node     ident.Node
	since    clock.Time
	requests [linkHistory]renewal
	sent     clock.Time // newest heartbeat
	revision uint32     // that it carried
	answered clock.Time // sending of the newest heartbeat that was answered
	seen     uint32     // its request
	heldRev  uint32     // newest revision that the deputy holds
	heldSeq  uint64     // newest change that the deputy holds
}

// deputies returns the processes whose pledges must all extend the authority:
// the deputy that the ledger names and those of unsettled records.
func (n *Node) deputies() []ident.Node {
	var nodes []ident.Node
	add := func(node ident.Node) {
		if !node.IsZero() && !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	if n.broken(FaultIgnoreIndeterminateDeputy) && len(n.appends.deputies) > 0 {
		add(n.appends.deputies[0].deputy)
		return nodes
	}
	add(n.ledger.Deputy())
	for _, u := range n.appends.deputies {
		add(u.deputy)
	}
	return nodes
}

// syncLinks keeps one link to each deputy.
func (n *Node) syncLinks() {
	l := n.leader
	nodes := n.deputies()
	l.links = slices.DeleteFunc(l.links, func(k *link) bool { return !slices.Contains(nodes, k.node) })
	for _, node := range nodes {
		if l.link(node) == nil {
			l.links = append(l.links, &link{node: node, since: n.now})
		}
	}
}

func (l *leader) link(node ident.Node) *link {
	for _, k := range l.links {
		if k.node == node {
			return k
		}
	}
	return nil
}

// updateAuthority extends the authority by the pledges of all deputies. A
// leader without a deputy leans on the log alone.
func (n *Node) updateAuthority() {
	l := n.leader
	length := n.timing.shorter(n.timing.lease)
	if n.solo() {
		l.authority = max(l.authority, min(n.now.Add(length), n.reader.lastTail.Add(n.timing.shorter(n.timing.blind))))
		return
	}
	until := clock.Never
	for i, k := range l.links {
		pledged := clock.Never
		if k.answered != clock.Never {
			pledged = k.answered.Add(length)
		}
		if i == 0 || pledged < until {
			until = pledged
		}
	}
	l.authority = max(l.authority, until)
}

// solo reports whether the leader has no deputy, and no record that may name
// one is unsettled.
func (n *Node) solo() bool {
	return n.ledger.Deputy().IsZero() && len(n.appends.deputies) == 0
}

// pledgedSeq returns the newest change that all deputies hold.
func (n *Node) pledgedSeq() (uint64, bool) {
	l := n.leader
	if len(l.links) == 0 {
		return 0, false
	}
	seq := l.links[0].heldSeq
	for _, k := range l.links {
		seq = min(seq, k.heldSeq)
	}
	return seq, true
}

// sendHeartbeats sends the heartbeats that are due: at the interval, sooner if
// one is unanswered, and at once after a change.
func (n *Node) sendHeartbeats() {
	l := n.leader
	n.proposeNext()
	for _, k := range l.links {
		due := k.sent.Add(n.timing.heartbeat)
		if k.answered < k.sent {
			due = k.sent.Add(n.linkRetry(k))
		}
		if k.sent != clock.Never && n.now < due && k.revision == l.revision {
			n.wake(due)
			continue
		}
		n.sendHeartbeat(k)
	}
}

// linkRetry returns the retry interval of a deputy that does not answer.
func (n *Node) linkRetry(k *link) time.Duration {
	if n.now.Sub(max(k.answered, k.since)) > n.timing.lease {
		return n.timing.heartbeat
	}
	return n.timing.retry
}

func (n *Node) sendHeartbeat(k *link) {
	l := n.leader
	l.nextRequest++
	if l.nextRequest == 0 {
		l.nextRequest = 1
	}
	m := &Heartbeat{Term: l.term, Request: l.nextRequest, Revision: l.revision, Seq: l.table.seq, Seen: k.seen}
	if l.gate.open {
		m.Flags |= heartbeatActive
	}
	if k.heldRev < l.revision {
		m.Flags |= heartbeatState
		m.State = l.grants()
		m.Next = l.next
	}
	k.requests[l.nextRequest%linkHistory] = renewal{request: l.nextRequest, sent: n.now}
	k.sent = n.now
	k.revision = l.revision
	n.wake(n.now.Add(n.timing.retry))
	n.send(k.node, Message{Heartbeat: m})
}

// onPledge extends the authority by a deputy's pledge.
func (n *Node) onPledge(from ident.Node, m *Pledge) {
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
			if r.sent > k.answered {
				k.answered = r.sent
				k.seen = r.request
			}
			k.heldRev = max(k.heldRev, m.Revision)
			k.heldSeq = max(k.heldSeq, m.Seq)
			return
		}
	}
}

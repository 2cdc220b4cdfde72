package cell

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// appends tracks the records that this node has sent to the log.
type appends struct {
	last      [KindSnapshot + 1]sentAppend // newest append of each kind
	notBefore [KindSnapshot + 1]clock.Time // end of the backoff of each kind
	failures  [KindSnapshot + 1]int        // failed appends of each kind in a row
	// deputies lists the deputies named by records that are not settled yet.
	deputies []unsettledDeputy
}

// sentAppend is an append whose record has not been read back yet.
type sentAppend struct {
	nonce   uint64 // 0 if there is none
	sent    clock.Time
	outcome AppendOutcome // 0 until the driver answers
}

// unsettledDeputy is a DeputyChange that may be or become part of the stream.
type unsettledDeputy struct {
	nonce  uint64
	base   uint64
	deputy ident.Node
}

// mayAppend reports whether a record of the kind may be sent now. A record of
// unknown outcome may be followed by another after appendRetry: both carry the
// same base, term or sequence, so that the later of the two is void.
func (n *Node) mayAppend(kind RecordKind) bool {
	a := &n.appends
	if n.now < a.notBefore[kind] || n.reader.lastTail == clock.Never {
		return false
	}
	last := a.last[kind]
	switch {
	case last.nonce == 0:
		return true
	case last.outcome == AppendUnknown:
		return n.now.Sub(last.sent) >= appendRetry
	default:
		return n.now.Sub(last.sent) >= appendTimeout
	}
}

// append sends a record to the log. The record carries nonce.
func (n *Node) append(nonce uint64, r Record) {
	kind := r.Kind()
	n.appends.last[kind] = sentAppend{nonce: nonce, sent: n.now}
	if r.Deputy != nil {
		n.appends.deputies = append(n.appends.deputies, unsettledDeputy{nonce: nonce, base: r.Deputy.Base, deputy: r.Deputy.Deputy})
	}
	n.out.Appends = append(n.out.Appends, Append{Nonce: nonce, Record: r})
}

// nonce returns a number that no other append of the cell carries.
func (n *Node) nonce() uint64 {
	for {
		if v := n.rng.Uint64(); v != 0 {
			return v
		}
	}
}

// appended notes the log's answer to an append.
func (n *Node) appended(ev Appended) {
	a := &n.appends
	for kind := range a.last {
		if a.last[kind].nonce != ev.Nonce || ev.Nonce == 0 {
			continue
		}
		a.last[kind].outcome = ev.Outcome
		if ev.Outcome == AppendFailed {
			a.last[kind] = sentAppend{}
			a.notBefore[kind] = n.now.Add(n.backoff(a.failures[kind]))
			a.failures[kind]++
			continue
		}
		a.failures[kind] = 0
	}
	if ev.Outcome == AppendFailed {
		a.settle(ev.Nonce)
		return
	}
	n.out.ReadLog = true
}

// backoff returns the pause after a failed append that follows the given
// number of others. It doubles from RetryInterval up to maxAppendBackoff, less
// a jitter of up to a quarter.
func (n *Node) backoff(failures int) time.Duration {
	pause := n.timing.retry << min(failures, maxBackoffDoublings)
	pause = min(pause, maxAppendBackoff)
	return pause - time.Duration(n.jitter()*float64(pause)/4)
}

// settle forgets an append whose record has been read or never will be.
func (a *appends) settle(nonce uint64) {
	if nonce == 0 {
		return
	}
	for kind := range a.last {
		if a.last[kind].nonce == nonce {
			a.last[kind] = sentAppend{}
		}
	}
	a.deputies = slices.DeleteFunc(a.deputies, func(u unsettledDeputy) bool { return u.nonce == nonce })
}

// settleBase forgets the role records that a new base has made void.
func (a *appends) settleBase(base uint64) {
	a.deputies = slices.DeleteFunc(a.deputies, func(u unsettledDeputy) bool { return u.base != base })
	for _, kind := range []RecordKind{KindClaim, KindDeputy, KindIntent, KindObjection} {
		a.last[kind] = sentAppend{}
	}
}

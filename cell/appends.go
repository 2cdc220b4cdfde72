package cell

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// appends tracks the records that this node has appended to the log.
type appends struct {
	last      [KindSnapshot + 1]sentAppend // newest append of each kind
	notBefore [KindSnapshot + 1]clock.Time // end of the backoff of each kind
	failures  [KindSnapshot + 1]int        // failed appends of each kind in a row
	// deputyChanges lists the DeputyChange records of indeterminate outcome.
	deputyChanges []indeterminateDeputy
}

// sentAppend is an append whose record has not been read back yet.
type sentAppend struct {
	nonce   uint64 // 0 if there is none
	sent    clock.Time
	outcome AppendOutcome // 0 until the driver answers
}

// indeterminateDeputy is the deputy of a DeputyChange that may be in the stream or
// may still be added to it.
type indeterminateDeputy struct {
	nonce           uint64
	expectedVersion uint64
	deputy          ident.Node
}

// mayAppend reports whether a record of the kind may be sent now. A record of
// unknown outcome may be followed by another after appendRetry: both carry the
// same expected version, term or sequence number, so the later one is rejected.
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

// append sends a record to the log. The record must carry nonce.
func (n *Node) append(nonce uint64, r Record) {
	kind := r.Kind()
	n.appends.last[kind] = sentAppend{nonce: nonce, sent: n.now}
	if r.Deputy != nil {
		n.appends.deputyChanges = append(n.appends.deputyChanges, indeterminateDeputy{nonce: nonce, expectedVersion: r.Deputy.ExpectedVersion, deputy: r.Deputy.Deputy})
	}
	n.out.Appends = append(n.out.Appends, Append{Nonce: nonce, Record: r})
}

// newNonce returns a random non-zero number that identifies an append of the
// cell.
func (n *Node) newNonce() uint64 {
	for {
		if v := n.rng.Uint64(); v != 0 {
			return v
		}
	}
}

// onAppended records the result of an append.
func (n *Node) onAppended(ev Appended) {
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
		a.resolve(ev.Nonce)
		return
	}
	n.out.ReadLog = true
}

// backoff returns the pause after a failed append that follows the given
// number of consecutive other failures. It doubles from RetryInterval up to
// maxAppendBackoff, minus a jitter of up to a quarter.
func (n *Node) backoff(failures int) time.Duration {
	pause := n.timing.retry << min(failures, maxBackoffDoublings)
	pause = min(pause, maxAppendBackoff)
	return pause - time.Duration(n.jitter()*float64(pause)/4)
}

// resolve clears an append whose record has been read back or never will be.
func (a *appends) resolve(nonce uint64) {
	if nonce == 0 {
		return
	}
	for kind := range a.last {
		if a.last[kind].nonce == nonce {
			a.last[kind] = sentAppend{}
		}
	}
	a.deputyChanges = slices.DeleteFunc(a.deputyChanges, func(u indeterminateDeputy) bool { return u.nonce == nonce })
}

// resolveRoleChanges clears the role records that are rejected because of the new
// roles version.
func (a *appends) resolveRoleChanges(version uint64) {
	a.deputyChanges = slices.DeleteFunc(a.deputyChanges, func(u indeterminateDeputy) bool { return u.expectedVersion != version })
	for _, kind := range []RecordKind{KindClaim, KindDeputy, KindIntent, KindObjection} {
		a.last[kind] = sentAppend{}
	}
}

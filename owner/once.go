package owner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleystack/parsleystack/outcome"
)

const retryAfterInFlight = time.Second

// remembers reports whether the request is remembered by its idempotency key.
// Requests that may be repeated anyway are not.
func (r *run) remembers() bool {
	return len(r.req.IdempotencyKey) > 0 && r.req.Keyed && !r.req.Idempotent
}

// processOnce runs the request unless one with its idempotency key is known.
func (r *run) processOnce() {
	key := memoryKey{point: r.req.Point, key: string(r.req.IdempotencyKey)}
	known, answer := r.owner.memory.begin(key, r.fingerprint(), r.arrived)
	if known != recallNew {
		r.replay(known, answer)
		return
	}
	if r.req.Repeat && r.heldShorter(r.owner.cfg.Memory.Keep) {
		r.owner.memory.drop(key)
		r.duplicate(0)
		return
	}
	r.execute()
	r.remember(key)
}

// heldShorter reports whether an earlier owner may have run the request less
// than d ago.
func (r *run) heldShorter(d time.Duration) bool {
	return r.owner.cfg.Now().Sub(r.use.HeldSince) < d
}

func (r *run) remember(key memoryKey) {
	now := r.owner.cfg.Fast()
	switch r.resp.Kind {
	case outcome.NotRun:
		r.owner.memory.drop(key)
	case outcome.Done:
		r.owner.memory.end(key, &r.resp, now)
	default:
		r.owner.memory.end(key, nil, now)
	}
}

// replay answers a repeat.
func (r *run) replay(known recall, answer []byte) {
	switch known {
	case recallAnswer:
		if _, err := r.resp.UnmarshalMsg(answer); err != nil {
			r.duplicate(0)
			return
		}
		r.owner.stats.replays.Add(1)
	case recallInFlight:
		r.duplicate(retryAfterInFlight)
	case recallMismatch:
		r.refuse(outcome.BadRequest, 0)
	default:
		r.duplicate(0)
	}
}

// duplicate refuses a repeat. Its outcome is unknown, not "not run": the first
// request with the idempotency key may have run, and a caller that is told
// "not run" would be free to send the same order under a new key.
func (r *run) duplicate(retryAfter time.Duration) {
	r.unknown(outcome.Duplicate)
	r.resp.RetryAfter = retryAfter
}

// fingerprint tells different requests with one idempotency key apart.
func (r *run) fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(r.req.Method)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(r.req.URI)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(r.req.Body)
	return d.Sum64()
}

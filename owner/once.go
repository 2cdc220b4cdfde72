package owner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleystack/parsleystack/outcome"
)

const retryAfterInFlight = time.Second

// deduplicates reports whether the request is tracked by its idempotency key.
// Requests whose method is idempotent need no tracking.
func (r *activeRequest) deduplicates() bool {
	return len(r.req.IdempotencyKey) > 0 && r.req.Keyed && !r.req.Idempotent
}

// processOnce runs the request unless one with the same idempotency key is
// recorded. A declared repeat is refused if an earlier owner, whose records are
// not available here, may have run the first attempt within the TTL.
func (r *activeRequest) processOnce() {
	key := recordKey{point: r.req.Point, key: string(r.req.IdempotencyKey)}
	state, resp := r.owner.records.begin(key, r.fingerprint(), r.arrived)
	if state != recordNew {
		r.replay(state, resp)
		return
	}
	if r.req.Repeat && r.acquiredWithin(r.owner.cfg.Idempotency.TTL) {
		r.owner.records.drop(key)
		r.refuseDuplicate(0)
		return
	}
	r.execute()
	r.storeOutcome(key)
}

// acquiredWithin reports whether the range was acquired less than d ago, so that
// an earlier owner may have run the request in that time.
func (r *activeRequest) acquiredWithin(d time.Duration) bool {
	return r.owner.cfg.Now().Sub(r.use.HeldSince) < d
}

// storeOutcome records the outcome under the idempotency key. A request that was
// not run is not recorded, so that a repeat can run.
func (r *activeRequest) storeOutcome(key recordKey) {
	now := r.owner.cfg.Fast()
	switch r.resp.Kind {
	case outcome.NotRun:
		r.owner.records.drop(key)
	case outcome.Done:
		r.owner.records.complete(key, &r.resp, now)
	default:
		r.owner.records.complete(key, nil, now)
	}
}

// replay responds to a repeat by the state of the recorded request. resp is the
// encoded response if the state is recordCompleted.
func (r *activeRequest) replay(state recordState, resp []byte) {
	switch state {
	case recordCompleted:
		if _, err := r.resp.UnmarshalMsg(resp); err != nil {
			r.refuseDuplicate(0)
			return
		}
		r.owner.stats.replays.Add(1)
	case recordInFlight:
		r.refuseDuplicate(retryAfterInFlight)
	case recordMismatch:
		r.refuse(outcome.BadRequest, 0)
	default:
		r.refuseDuplicate(0)
	}
}

// refuseDuplicate refuses a repeat. The outcome is unknown rather than not run:
// the first request with the idempotency key may have run, and after "not run"
// a caller may send the same request under a new key, so that it runs twice.
func (r *activeRequest) refuseDuplicate(retryAfter time.Duration) {
	r.setUnknown(outcome.Duplicate)
	r.resp.RetryAfter = retryAfter
}

// fingerprint returns a hash of method, URI and body. It detects an idempotency
// key that is reused for a different request.
func (r *activeRequest) fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(r.req.Method)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(r.req.URI)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(r.req.Body)
	return d.Sum64()
}

package owner

import (
	"container/list"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/wire"
)

// IdempotencyConfig bounds the records of requests with idempotency keys. Zero
// fields take the defaults named below.
type IdempotencyConfig struct {
	// TTL is the time for which a finished request is recorded;
	// DefaultIdempotencyTTL if 0.
	TTL time.Duration
	// MaxBytes bounds the size of all records; DefaultIdempotencyBytes if 0. The
	// oldest finished requests are evicted first. Requests in flight are never
	// evicted.
	MaxBytes int
	// MaxResponseBytes is the largest response body that is stored;
	// DefaultMaxResponseBytes if 0. A repeat of a request with a larger one is
	// refused.
	MaxResponseBytes int
}

const (
	// DefaultIdempotencyTTL is the default of IdempotencyConfig.TTL.
	DefaultIdempotencyTTL = 10 * time.Minute
	// DefaultIdempotencyBytes is the default of IdempotencyConfig.MaxBytes.
	DefaultIdempotencyBytes = 16 << 20
	// DefaultMaxResponseBytes is the default of IdempotencyConfig.MaxResponseBytes.
	DefaultMaxResponseBytes = 64 << 10
)

func (c IdempotencyConfig) withDefaults() IdempotencyConfig {
	if c.TTL == 0 {
		c.TTL = DefaultIdempotencyTTL
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = DefaultIdempotencyBytes
	}
	if c.MaxResponseBytes == 0 {
		c.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return c
}

// recordState is the state of the record for an idempotency key.
type recordState uint8

const (
	recordNew       recordState = 1 // no record; the caller must run the request
	recordCompleted recordState = 2 // finished; the response is stored
	recordInFlight  recordState = 3 // running
	recordUnknown   recordState = 4 // finished without a complete response, or the response is not stored
	recordMismatch  recordState = 5 // the key was used for a different request
)

const recordOverhead = 256 // estimated bytes of a record besides its key and response

type recordKey struct {
	point keyspace.Point
	key   string
}

// record holds the state of one request with an idempotency key.
type record struct {
	key         recordKey
	fingerprint uint64 // of method, URI and body
	state       recordState
	response    []byte // encoded wire.Response if state is recordCompleted
	expiresAt   clock.Time
}

func (r *record) size() int { return recordOverhead + len(r.key.key) + len(r.response) }

// idempotencyStore records requests by their idempotency keys. It is local to
// the daemon: a new owner of a range does not have the records of the earlier
// one.
type idempotencyStore struct {
	cfg IdempotencyConfig

	mu       sync.Mutex
	records  map[recordKey]*list.Element
	finished *list.List // of *record, oldest first
	bytes    int
}

func newIdempotencyStore(cfg IdempotencyConfig) *idempotencyStore {
	return &idempotencyStore{cfg: cfg, records: make(map[recordKey]*list.Element), finished: list.New()}
}

// begin returns the state of a key and the stored response, if any. After
// recordNew the caller must call complete or drop.
func (s *idempotencyStore) begin(key recordKey, fingerprint uint64, now clock.Time) (recordState, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictLocked(now)
	if e, ok := s.records[key]; ok {
		r := e.Value.(*record)
		if r.fingerprint != fingerprint {
			return recordMismatch, nil
		}
		return r.state, r.response
	}
	r := &record{key: key, fingerprint: fingerprint, state: recordInFlight}
	s.records[key] = &list.Element{Value: r}
	s.bytes += r.size()
	return recordNew, nil
}

// drop removes the record of a request that was not run.
func (s *idempotencyStore) drop(key recordKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.records[key]; ok {
		delete(s.records, key)
		s.bytes -= e.Value.(*record).size()
	}
}

// complete records the end of a request that ran or may have run. resp is nil if
// there is no complete response.
func (s *idempotencyStore) complete(key recordKey, resp *wire.Response, now clock.Time) {
	encoded := s.encode(resp)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.records[key]
	if !ok {
		return
	}
	r := e.Value.(*record)
	s.bytes -= r.size()
	r.state = recordUnknown
	if encoded != nil {
		r.state, r.response = recordCompleted, encoded
	}
	r.expiresAt = now.Add(s.cfg.TTL)
	s.bytes += r.size()
	s.records[key] = s.finished.PushBack(r)
	s.evictLocked(now)
}

// encode returns nil if resp is nil or too large to be stored.
func (s *idempotencyStore) encode(resp *wire.Response) []byte {
	if resp == nil || len(resp.Body) > s.cfg.MaxResponseBytes {
		return nil
	}
	encoded, err := resp.MarshalMsg(nil)
	if err != nil {
		return nil
	}
	return encoded
}

// evictLocked removes finished requests whose TTL has passed, and the oldest ones
// while the records exceed MaxBytes.
func (s *idempotencyStore) evictLocked(now clock.Time) {
	for e := s.finished.Front(); e != nil; e = s.finished.Front() {
		r := e.Value.(*record)
		if now.Before(r.expiresAt) && s.bytes <= s.cfg.MaxBytes {
			return
		}
		s.finished.Remove(e)
		delete(s.records, r.key)
		s.bytes -= r.size()
	}
}

// size returns the number of records and their size in bytes.
func (s *idempotencyStore) size() (records, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records), s.bytes
}

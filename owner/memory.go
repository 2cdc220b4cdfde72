package owner

import (
	"container/list"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/wire"
)

// MemoryConfig bounds what is remembered of requests with idempotency keys.
// Zero fields take the defaults named below.
type MemoryConfig struct {
	// Keep is the time for which an ended request is remembered; DefaultKeep if 0.
	Keep time.Duration
	// MaxBytes bounds all that is remembered; DefaultMemoryBytes if 0. The
	// oldest ended requests are forgotten first.
	MaxBytes int
	// MaxAnswer is the largest answer that is remembered, in bytes;
	// DefaultMaxAnswer if 0. A repeat of a request with a larger one is refused.
	MaxAnswer int
}

const (
	// DefaultKeep is the default of MemoryConfig.Keep.
	DefaultKeep = 10 * time.Minute
	// DefaultMemoryBytes is the default of MemoryConfig.MaxBytes.
	DefaultMemoryBytes = 16 << 20
	// DefaultMaxAnswer is the default of MemoryConfig.MaxAnswer.
	DefaultMaxAnswer = 64 << 10
)

func (c MemoryConfig) withDefaults() MemoryConfig {
	if c.Keep == 0 {
		c.Keep = DefaultKeep
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = DefaultMemoryBytes
	}
	if c.MaxAnswer == 0 {
		c.MaxAnswer = DefaultMaxAnswer
	}
	return c
}

// recall says what is known of an idempotency key.
type recall uint8

const (
	recallNew      recall = 1 // never seen; the caller runs the request
	recallAnswer   recall = 2 // ended with the answer given
	recallInFlight recall = 3 // runs now
	recallUnknown  recall = 4 // ended without a whole answer, or the answer is not kept
	recallMismatch recall = 5 // seen with another request
)

const recordOverhead = 256 // bytes of a record besides its key and answer

type memoryKey struct {
	point keyspace.Point
	key   string
}

// record is what is remembered of one request.
type record struct {
	key         memoryKey
	fingerprint uint64 // of method, URI and body
	state       recall
	answer      []byte // encoded wire.Response, with recallAnswer
	forgetAt    clock.Time
}

func (r *record) size() int { return recordOverhead + len(r.key.key) + len(r.answer) }

// memory remembers requests by their idempotency keys. It is local to the
// daemon: a new owner of a range knows nothing of the earlier owner's.
type memory struct {
	cfg MemoryConfig

	mu      sync.Mutex
	records map[memoryKey]*list.Element
	ended   *list.List // of *record, oldest first
	bytes   int
}

func newMemory(cfg MemoryConfig) *memory {
	return &memory{cfg: cfg, records: make(map[memoryKey]*list.Element), ended: list.New()}
}

// begin returns what is known of a key. After recallNew the caller must call
// end.
func (m *memory) begin(key memoryKey, fingerprint uint64, now clock.Time) (recall, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetOld(now)
	if e, ok := m.records[key]; ok {
		r := e.Value.(*record)
		if r.fingerprint != fingerprint {
			return recallMismatch, nil
		}
		return r.state, r.answer
	}
	r := &record{key: key, fingerprint: fingerprint, state: recallInFlight}
	m.records[key] = &list.Element{Value: r}
	m.bytes += r.size()
	return recallNew, nil
}

// drop forgets a request that was not run.
func (m *memory) drop(key memoryKey) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.records[key]; ok {
		delete(m.records, key)
		m.bytes -= e.Value.(*record).size()
	}
}

// end remembers a request that ran, or may have. answer is nil if it is not at
// hand.
func (m *memory) end(key memoryKey, answer *wire.Response, now clock.Time) {
	encoded := m.encode(answer)
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.records[key]
	if !ok {
		return
	}
	r := e.Value.(*record)
	m.bytes -= r.size()
	r.state = recallUnknown
	if encoded != nil {
		r.state, r.answer = recallAnswer, encoded
	}
	r.forgetAt = now.Add(m.cfg.Keep)
	m.bytes += r.size()
	m.records[key] = m.ended.PushBack(r)
	m.forgetOld(now)
}

func (m *memory) encode(answer *wire.Response) []byte {
	if answer == nil || len(answer.Body) > m.cfg.MaxAnswer {
		return nil
	}
	encoded, err := answer.MarshalMsg(nil)
	if err != nil {
		return nil
	}
	return encoded
}

// forgetOld drops ended requests that are too old, or too many.
func (m *memory) forgetOld(now clock.Time) {
	for e := m.ended.Front(); e != nil; e = m.ended.Front() {
		r := e.Value.(*record)
		if now.Before(r.forgetAt) && m.bytes <= m.cfg.MaxBytes {
			return
		}
		m.ended.Remove(e)
		delete(m.records, r.key)
		m.bytes -= r.size()
	}
}

// size returns the number of records and their bytes.
func (m *memory) size() (records, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.records), m.bytes
}

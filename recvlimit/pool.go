package recvlimit

import (
	"container/list"
	"sync"
)

// Shares of a pool, as divisors of its limit.
const (
	// smallShare is left to messages of up to FreeBytes, so that they are received while
	// large ones that are complete, and can't be evicted, take the rest.
	smallShare = 8
	// evictedShare bounds the bytes above the limit that evicted messages may take until
	// their owners have released them.
	evictedShare = 8
)

// largeStep is the number of bytes above which BeforeLarge is called.
const largeStep = 16 << 10

// Pool bounds the memory that messages of all sources take together. If it is exhausted,
// the incomplete messages that have made progress least recently are evicted. A nil Pool
// has no limit. It is safe for concurrent use.
type Pool struct {
	limit       int
	beforeLarge func(bytes int) // may be nil

	mu         sync.Mutex
	used       int // bytes of all holdings that are not released
	evicted    int // part of used: bytes of messages that have been evicted
	incomplete *list.List
	evictable  int // part of used: bytes of the messages in incomplete
	sources    map[Source]*SourceStats
	freed      chan struct{} // closed when bytes are returned; nil if nobody waits for that
}

// NewPool returns a pool of limit bytes.
func NewPool(limit int) *Pool {
	return &Pool{limit: limit, incomplete: list.New(), sources: make(map[Source]*SourceStats)}
}

// BeforeLarge sets a function that is called when a message takes more than 16 KB at
// once, before the memory is allocated. It may wait, for instance until memory that was
// returned has been collected. It must be set before the pool is used.
func (p *Pool) BeforeLarge(f func(bytes int)) { p.beforeLarge = f }

// Limit returns the limit in bytes, 0 if there is none.
func (p *Pool) Limit() int {
	if p == nil {
		return 0
	}
	return p.limit
}

// Open registers a message that is being received. evict is called at most once, on any
// goroutine, if the message is evicted to free memory; it must not block. A nil evict
// registers a message that is not evicted.
func (p *Pool) Open(source Source, evict func()) *Holding {
	h := &Holding{pool: p, source: source, evict: evict}
	if p == nil {
		return h
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h.stats = p.sources[source]
	if h.stats == nil {
		h.stats = new(SourceStats)
		p.sources[source] = h.stats
	}
	if evict != nil {
		h.element = p.incomplete.PushBack(h)
	}
	return h
}

// Stats returns what the messages of one source take, and what was refused to them.
func (p *Pool) Stats(source Source) SourceStats {
	if p == nil {
		return SourceStats{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.sources[source]; s != nil {
		return *s
	}
	return SourceStats{}
}

// Held returns the bytes that all messages take.
func (p *Pool) Held() int {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// reserve takes more bytes for h, and returns the messages that must be evicted for them. If
// soon is set, no bytes were taken, but there is room once the owners of evicted messages
// have released them. The caller holds the lock.
func (p *Pool) reserve(h *Holding, more int) (victims []*Holding, ok, soon bool) {
	limit := p.limit
	if h.bytes+more > FreeBytes {
		limit -= p.limit / smallShare
	}
	others := p.evictable
	if h.element != nil {
		others -= h.bytes
	}
	if p.used-p.evicted-others+more > limit {
		return nil, false, false // no message is evicted for one that would be refused all the same
	}
	for e := p.incomplete.Front(); e != nil && p.used-p.evicted+more > limit; {
		victim := e.Value.(*Holding)
		e = e.Next()
		if victim == h || victim.bytes == 0 {
			continue
		}
		victim.leave()
		victim.evicted = true
		victim.stats.Evicted++
		p.evicted += victim.bytes
		victims = append(victims, victim)
	}
	if p.used+more > p.limit+p.limit/evictedShare {
		return victims, false, true
	}
	p.add(h, more)
	return victims, true, false
}

// add changes the bytes of h. The caller holds the lock.
func (p *Pool) add(h *Holding, bytes int) {
	h.bytes += bytes
	h.stats.Held += bytes
	p.used += bytes
	if h.element != nil {
		p.evictable += bytes
	}
	if h.evicted {
		p.evicted += bytes
	}
	if bytes < 0 && p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}

// nextFreed returns a channel that is closed when bytes are returned. The caller holds
// the lock.
func (p *Pool) nextFreed() <-chan struct{} {
	if p.freed == nil {
		p.freed = make(chan struct{})
	}
	return p.freed
}

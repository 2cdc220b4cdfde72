package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/dispatch"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

const (
	minRefreshPause = 10 * time.Millisecond
	maxRefreshPause = 160 * time.Millisecond
	// recheckAfter is the time after which a held request is sent again to an
	// owner that has not changed.
	recheckAfter = 100 * time.Millisecond
	// maxRefreshPoints is the number of points asked for in one round.
	maxRefreshPoints = 8
	// releaseBatch is the number of held requests that are sent on at once, and
	// releasePause the time between batches: all at once would overrun the queue
	// of the new owner.
	releaseBatch = 8
	releasePause = 5 * time.Millisecond
	// minSuspectPause and maxSuspectPause bound the time between questions for
	// the owner of a point whose owner is silent.
	minSuspectPause = time.Second
	maxSuspectPause = 8 * time.Second
)

// holder holds the requests of one service that wait for a new owner, and asks
// for routes while there are any.
type holder struct {
	gateway *Gateway
	service ident.Service

	mu      sync.Mutex
	queue   *dispatch.HoldQueue
	nextID  uint64
	held    map[uint64]*heldFlight
	running bool

	suspected    bool // a suspicion is being looked into
	nextSuspect  clock.Time
	suspectPause time.Duration
}

// heldFlight is one request in the queue.
type heldFlight struct {
	flight *flight
	since  clock.Time
	wake   chan dispatch.EventKind // buffered
}

func newHolder(g *Gateway, svc ident.Service) *holder {
	return &holder{gateway: g, service: svc, queue: dispatch.NewHoldQueue(g.cfg.HoldLimit), held: make(map[uint64]*heldFlight)}
}

// hold blocks until the request is to be tried again or given up.
func (h *holder) hold(f *flight) dispatch.Event {
	w := &heldFlight{flight: f, since: h.gateway.cfg.Now(), wake: make(chan dispatch.EventKind, 1)}
	id := h.add(w)
	h.gateway.stats.held.Add(1)
	select {
	case kind := <-w.wake:
		return dispatch.Event{Kind: kind}
	case <-f.ctx.Done():
		h.remove(id)
		return f.interrupted(false)
	}
}

func (h *holder) add(w *heldFlight) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextID++
	id := h.nextID
	h.held[id] = w
	refused, full := h.queue.Add(dispatch.Held{ID: id, Deadline: w.flight.deadline})
	if full {
		h.wakeLocked(refused.ID, dispatch.HoldRefused)
	}
	if !h.running {
		h.running = true
		go h.run()
	}
	return id
}

func (h *holder) remove(id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queue.Remove(id)
	delete(h.held, id)
}

func (h *holder) wakeLocked(id uint64, kind dispatch.EventKind) {
	w := h.held[id]
	if w == nil {
		return
	}
	delete(h.held, id)
	w.wake <- kind
}

// run asks for routes until no request is held.
func (h *holder) run() {
	pause := minRefreshPause
	for {
		points, ok := h.points()
		if !ok {
			return
		}
		h.refresh(points)
		woken := h.recheck()
		moved, more := h.release()
		for more && h.sleep(releasePause) {
			_, more = h.release()
		}
		woken += moved
		if woken > 0 {
			pause = minRefreshPause
		}
		if !h.sleep(pause/2 + rand.N(pause/2)) {
			h.stop()
			return
		}
		pause = min(pause*2, maxRefreshPause)
	}
}

// sleep reports false if the gateway is closed meanwhile.
func (h *holder) sleep(d time.Duration) bool {
	select {
	case <-h.gateway.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// points returns the points of the requests with the earliest deadlines. It
// reports false, and ends the run, if none is held.
func (h *holder) points() ([]keyspace.Point, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.held) == 0 {
		h.running = false
		return nil, false
	}
	var points []keyspace.Point
	for _, w := range h.held {
		if len(points) == maxRefreshPoints {
			break
		}
		points = append(points, w.flight.req.Point)
	}
	return points, true
}

// refresh asks for the owners of points and reports whether any has changed.
func (h *holder) refresh(points []keyspace.Point) bool {
	source := h.gateway.cfg.Source
	if source == nil {
		return false
	}
	changed := false
	for _, p := range points {
		entries, err := source.Refresh(h.gateway.ctx, h.service, p)
		if err != nil {
			h.gateway.stats.failedRefreshes.Add(1)
			continue
		}
		h.gateway.stats.refreshes.Add(1)
		changed = h.gateway.cfg.Router.MergeEntries(h.service, entries...) || changed
	}
	return changed
}

// recheck wakes a batch of the requests that have waited for long, by deadline.
func (h *holder) recheck() (woken int) {
	now := h.gateway.cfg.Now()
	woken, _ = h.wakeBatch(func(w *heldFlight) bool { return now.Sub(w.since) >= recheckAfter })
	return woken
}

// release wakes a batch of the requests whose owner has changed, by deadline.
// more reports that there are others.
func (h *holder) release() (woken int, more bool) {
	return h.wakeBatch(func(w *heldFlight) bool { return w.flight.moved() })
}

func (h *holder) wakeBatch(due func(*heldFlight) bool) (woken int, more bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range h.queue.Take() {
		w := h.held[x.ID]
		if w == nil {
			continue
		}
		if !due(w) {
			h.queue.Add(x)
			continue
		}
		if woken == releaseBatch {
			more = true
			h.queue.Add(x)
			continue
		}
		h.wakeLocked(x.ID, dispatch.Refreshed)
		woken++
	}
	return woken, more
}

// stop wakes all requests; their contexts have ended.
func (h *holder) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range h.queue.Take() {
		h.wakeLocked(x.ID, dispatch.Refreshed)
	}
	h.running = false
}

// suspect asks for the owner of a point once, unless that was done shortly
// before. Answers that change nothing make the next question later.
func (h *holder) suspect(p keyspace.Point, now clock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.suspected || h.running || now.Before(h.nextSuspect) {
		return
	}
	h.suspected = true
	go h.lookInto(p)
}

func (h *holder) lookInto(p keyspace.Point) {
	changed := h.refresh([]keyspace.Point{p})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspected = false
	h.suspectPause = min(max(h.suspectPause*2, minSuspectPause), maxSuspectPause)
	if changed {
		h.suspectPause = minSuspectPause
	}
	h.nextSuspect = h.gateway.cfg.Now().Add(h.suspectPause)
}

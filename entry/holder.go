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
	minRefreshInterval = 10 * time.Millisecond
	maxRefreshInterval = 160 * time.Millisecond
	// recheckInterval is the time after which a held request is sent again to the
	// same owner.
	recheckInterval = 100 * time.Millisecond
	// maxRefreshPoints is the largest number of points refreshed in one round.
	maxRefreshPoints = 8
	// releaseBatch is the number of held requests that are sent together, and
	// releaseInterval the time between batches. Sending all together would
	// overflow the queue of the new owner.
	releaseBatch    = 8
	releaseInterval = 5 * time.Millisecond
	// minSuspectInterval and maxSuspectInterval bound the time between refreshes
	// for suspected owners.
	minSuspectInterval = time.Second
	maxSuspectInterval = 8 * time.Second
)

// holder holds the requests of one service that have no reachable owner, and
// refreshes the routes while there are any.
type holder struct {
	gateway *Gateway
	service ident.Service

	mu      sync.Mutex
	queue   *dispatch.HoldQueue
	nextID  uint64
	held    map[uint64]*heldRequest
	running bool

	suspectRefreshing  bool // a refresh for a suspected owner is running
	nextSuspectRefresh clock.Time
	suspectInterval    time.Duration
}

// heldRequest is one request in the hold queue.
type heldRequest struct {
	request *activeRequest
	since   clock.Time
	wake    chan dispatch.EventKind // buffered
}

func newHolder(g *Gateway, svc ident.Service) *holder {
	return &holder{gateway: g, service: svc, queue: dispatch.NewHoldQueue(g.cfg.HoldLimit), held: make(map[uint64]*heldRequest)}
}

// hold blocks until the request should be sent again, is refused by the hold
// queue, or its context ends.
func (h *holder) hold(r *activeRequest) dispatch.Event {
	w := &heldRequest{request: r, since: h.gateway.cfg.Now(), wake: make(chan dispatch.EventKind, 1)}
	id := h.add(w)
	h.gateway.stats.held.Add(1)
	select {
	case kind := <-w.wake:
		return dispatch.Event{Kind: kind}
	case <-r.ctx.Done():
		h.remove(id)
		return r.interrupted(false)
	}
}

func (h *holder) add(w *heldRequest) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextID++
	id := h.nextID
	h.held[id] = w
	refused, full := h.queue.Add(dispatch.Held{ID: id, Deadline: w.request.deadline})
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

// run refreshes routes and wakes held requests until none is left.
func (h *holder) run() {
	pause := minRefreshInterval
	for {
		points, ok := h.heldPoints()
		if !ok {
			return
		}
		h.refresh(points)
		woken := h.wakeOverdue()
		wokenMoved, more := h.wakeOwnerChanged()
		for more && h.sleep(releaseInterval) {
			_, more = h.wakeOwnerChanged()
		}
		woken += wokenMoved
		if woken > 0 {
			pause = minRefreshInterval
		}
		if !h.sleep(pause/2 + rand.N(pause/2)) {
			h.stop()
			return
		}
		pause = min(pause*2, maxRefreshInterval)
	}
}

// sleep waits for d. It reports false if the gateway is shut down first.
func (h *holder) sleep(d time.Duration) bool {
	select {
	case <-h.gateway.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// heldPoints returns the points of up to maxRefreshPoints held requests, in no
// particular order. If no request is held, it clears running and reports false.
func (h *holder) heldPoints() ([]keyspace.Point, bool) {
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
		points = append(points, w.request.req.Point)
	}
	return points, true
}

// refresh looks up the owners of points and reports whether any has changed.
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

// wakeOverdue wakes a batch of the requests that have been held for
// recheckInterval or longer, in order of deadline.
func (h *holder) wakeOverdue() (woken int) {
	now := h.gateway.cfg.Now()
	woken, _ = h.wakeBatch(func(w *heldRequest) bool { return now.Sub(w.since) >= recheckInterval })
	return woken
}

// wakeOwnerChanged wakes a batch of the requests whose owner has changed, in
// order of deadline. more reports whether others are left.
func (h *holder) wakeOwnerChanged() (woken int, more bool) {
	return h.wakeBatch(func(w *heldRequest) bool { return w.request.ownerChanged() })
}

// wakeBatch wakes up to releaseBatch of the requests that are due. more reports
// whether others are due.
func (h *holder) wakeBatch(due func(*heldRequest) bool) (woken int, more bool) {
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

// stop wakes all held requests after the gateway has been shut down.
func (h *holder) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range h.queue.Take() {
		h.wakeLocked(x.ID, dispatch.Refreshed)
	}
	h.running = false
}

// suspect starts a refresh of the owner of a point, unless a refresh is running or
// the last one for a suspected owner was less than suspectInterval ago. The
// interval doubles after each refresh that changes nothing.
func (h *holder) suspect(p keyspace.Point, now clock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.suspectRefreshing || h.running || now.Before(h.nextSuspectRefresh) {
		return
	}
	h.suspectRefreshing = true
	go h.refreshSuspected(p)
}

// refreshSuspected refreshes the owner of a point and sets the time of the next
// refresh.
func (h *holder) refreshSuspected(p keyspace.Point) {
	changed := h.refresh([]keyspace.Point{p})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspectRefreshing = false
	h.suspectInterval = min(max(h.suspectInterval*2, minSuspectInterval), maxSuspectInterval)
	if changed {
		h.suspectInterval = minSuspectInterval
	}
	h.nextSuspectRefresh = h.gateway.cfg.Now().Add(h.suspectInterval)
}

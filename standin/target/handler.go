package target

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

var controlPrefix = []byte("/parsley/v1/")

func (t *Target) handle(ctx *fasthttp.RequestCtx) {
	path := ctx.Path()
	switch {
	case bytes.HasPrefix(path, controlPrefix):
		t.waitWhileFrozen()
		t.handleControlRequest(ctx, string(path[len(controlPrefix):]))
	case string(path) == "/runs":
		t.handleRuns(ctx)
	case string(path) == "/stats":
		writeJSON(ctx, t.Stats())
	case string(path) == "/control":
		t.handleFaultControl(ctx)
	default:
		t.waitWhileFrozen()
		t.handleRequest(ctx)
	}
}

// handleRequest admits or rejects a request, runs it and writes the response.
func (t *Target) handleRequest(ctx *fasthttp.RequestCtx) {
	control := t.control.Load()
	r := newRequest(ctx, &t.config)
	if reason := t.admit(ctx, r, control); reason != admitted {
		t.refuse(ctx, reason)
		return
	}
	if !t.acquireSlot(ctx, r, control) {
		return
	}
	if r.abandoned() { // for example closed during a freeze
		<-t.slots
		closeConnection(ctx, nil)
		return
	}
	end := t.execute(r, control)
	<-t.slots
	t.respond(ctx, r, control, end)
}

// admit checks everything but the availability of a slot.
func (t *Target) admit(ctx *fasthttp.RequestCtx, r *request, control *Control) refusal {
	now := time.Now()
	if t.draining.Load() {
		return draining
	}
	if now.UnixNano() < t.coldUntil.Load() {
		return cold
	}
	if t.config.Unfenced || control.Unfenced {
		return admitted
	}
	if r.run.Token == "" {
		if t.fence.hasGrants() {
			return staleToken
		}
		return admitted
	}
	token, err := parseToken(r.run.Token)
	if err != nil {
		return staleToken
	}
	rng, err := parseRange(string(ctx.Request.Header.Peek(headerRange)))
	if err != nil {
		return staleToken
	}
	return t.fence.check(rng, token, now)
}

// acquireSlot acquires a slot. If it cannot, it rejects the request or closes
// its connection, and returns false.
func (t *Target) acquireSlot(ctx *fasthttp.RequestCtx, r *request, control *Control) bool {
	if t.config.Shed || control.Shed {
		select {
		case t.slots <- struct{}{}:
			return true
		default:
			t.refuse(ctx, shedding)
			return false
		}
	}
	switch r.acquire(t.slots) {
	case notInterrupted:
		return true
	case interruptedByPeer:
		closeConnection(ctx, nil)
	case interruptedByDeadline:
		t.refuse(ctx, shedding)
	}
	return false
}

// execute runs and records a request that has a slot.
func (t *Target) execute(r *request, control *Control) interruption {
	t.counters.started.Add(1)
	t.counters.inFlight.add(1)
	defer t.counters.inFlight.add(-1)
	index := notRecorded
	if t.recorder.shouldRecord(r.run.Method) {
		r.run.Start = time.Now().UnixNano()
		index = t.recorder.start(r.run)
	}
	end := r.simulateWork(t.serviceTime(control))
	switch end {
	case notInterrupted:
		t.counters.completed.Add(1)
	case interruptedByPeer:
		t.counters.canceled.Add(1)
	case interruptedByDeadline:
		t.counters.timedOut.Add(1)
	}
	t.recorder.end(index, time.Now().UnixNano(), end == notInterrupted)
	return end
}

// respond writes the response to a request that ran, with the faults that
// control selects.
func (t *Target) respond(ctx *fasthttp.RequestCtx, r *request, control *Control, end interruption) {
	t.waitWhileFrozen()
	switch end {
	case interruptedByPeer:
		closeConnection(ctx, nil)
		return
	case interruptedByDeadline:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
		return
	}
	if t.chance(control.LateRatio) {
		time.Sleep(milliseconds(control.LateMs))
	}
	if t.chance(control.CloseRatio) {
		closeConnection(ctx, nil)
		return
	}
	if t.chance(control.WrongRatio) {
		r.run.ID = "wrong-" + r.run.ID
	}
	body := appendResponse(nil, r, t.config.BodyBytes)
	if t.chance(control.TruncatedRatio) {
		closeConnection(ctx, truncatedResponse(body))
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetBody(body)
}

// truncatedResponse returns the head of a response and the first half of its
// body.
func truncatedResponse(body []byte) []byte {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	return append([]byte(head), body[:len(body)/2]...)
}

func (t *Target) refuse(ctx *fasthttp.RequestCtx, reason refusal) {
	t.counters.countRefusal(reason)
	ctx.Response.Header.Set(headerRefused, string(reason))
	if reason == staleToken {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		return
	}
	ctx.Response.Header.Set("Retry-After", "1")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

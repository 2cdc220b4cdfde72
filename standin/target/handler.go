package target

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

var orderPrefix = []byte("/parsley/v1/")

func (t *Target) handle(ctx *fasthttp.RequestCtx) {
	path := ctx.Path()
	switch {
	case bytes.HasPrefix(path, orderPrefix):
		t.waitFrozen()
		t.handleOrder(ctx, string(path[len(orderPrefix):]))
	case string(path) == "/runs":
		t.handleRuns(ctx)
	case string(path) == "/stats":
		writeJSON(ctx, t.Stats())
	case string(path) == "/control":
		t.handleControl(ctx)
	default:
		t.waitFrozen()
		t.handleRequest(ctx)
	}
}

// handleRequest admits a request, runs it and answers.
func (t *Target) handleRequest(ctx *fasthttp.RequestCtx) {
	control := t.control.Load()
	r := newRequest(ctx, &t.config)
	if why := t.admit(ctx, r, control); why != admitted {
		t.refuse(ctx, why)
		return
	}
	if !t.acquireSlot(ctx, r, control) {
		return
	}
	if r.abandoned() { // as after a freeze
		<-t.slots
		closeUnanswered(ctx, nil)
		return
	}
	end := t.execute(r, control)
	<-t.slots
	t.answer(ctx, r, control, end)
}

// admit checks everything but the slots.
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
		if t.fence.known() {
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

// acquireSlot takes a slot, or answers for the request and returns false.
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
		closeUnanswered(ctx, nil)
	case interruptedByDeadline:
		t.refuse(ctx, shedding)
	}
	return false
}

// execute does the work of a request that holds a slot and records it.
func (t *Target) execute(r *request, control *Control) interruption {
	t.counters.started.Add(1)
	t.counters.inFlight.add(1)
	defer t.counters.inFlight.add(-1)
	index := notRecorded
	if t.recorder.wants(r.run.Method) {
		r.run.Start = time.Now().UnixNano()
		index = t.recorder.start(r.run)
	}
	end := r.work(t.serviceTime(control))
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

// answer writes the answer of a request that ran, with the faults asked for.
func (t *Target) answer(ctx *fasthttp.RequestCtx, r *request, control *Control, end interruption) {
	t.waitFrozen()
	switch end {
	case interruptedByPeer:
		closeUnanswered(ctx, nil)
		return
	case interruptedByDeadline:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
		return
	}
	if t.chance(control.LateRatio) {
		time.Sleep(milliseconds(control.LateMs))
	}
	if t.chance(control.CloseRatio) {
		closeUnanswered(ctx, nil)
		return
	}
	if t.chance(control.WrongRatio) {
		r.run.ID = "wrong-" + r.run.ID
	}
	body := appendAnswer(nil, r, t.config.BodyBytes)
	if t.chance(control.TornRatio) {
		closeUnanswered(ctx, tornAnswer(body))
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetBody(body)
}

// tornAnswer returns the first half of a whole answer.
func tornAnswer(body []byte) []byte {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	return append([]byte(head), body[:len(body)/2]...)
}

func (t *Target) refuse(ctx *fasthttp.RequestCtx, why refusal) {
	t.counters.refused(why)
	ctx.Response.Header.Set(headerRefused, string(why))
	if why == staleToken {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		return
	}
	ctx.Response.Header.Set("Retry-After", "1")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

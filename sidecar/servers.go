package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/httphead"
	"github.com/parsleystack/parsleystack/listen"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/platform"
)

// listeners are the sockets of the daemon.
type listeners struct {
	links, callers, control, ready, metrics net.Listener
}

// Indices of the listeners that Daemon.listen opens.
const (
	linkListener = iota
	callerListener
	controlListener
	readyListener
	metricsListener
)

func (d *Daemon) listen() (*listeners, error) {
	s := d.settings()
	ls, err := listen.All(s.LinkAddr, s.CallerAddr, s.ControlAddr, s.ReadyAddr, s.MetricsAddr)
	if err != nil {
		return nil, err
	}
	for i, l := range ls {
		if err := listenLimits(i, s.MemoryBytes).Apply(l); err != nil {
			return nil, errors.Join(err, listen.Close(ls))
		}
		ls[i] = listen.Tolerant(l, d.recordAcceptError)
	}
	return &listeners{links: ls[linkListener], callers: ls[callerListener], control: ls[controlListener], ready: ls[readyListener], metrics: ls[metricsListener]}, nil
}

// listenLimits returns the limits of listener i of Daemon.listen in a process of a memory in
// bytes. The receive buffers of links are not bounded, since links may cross long distances.
func listenLimits(i, memory int) listen.Limits {
	switch i {
	case linkListener:
		return listen.Limits{Backlog: waitingLinks(memory)}
	case callerListener:
		return listen.Limits{ReceiveBuffer: localReceiveBuffer, Backlog: callerBacklog(memory)}
	}
	return listen.Limits{ReceiveBuffer: localReceiveBuffer, Backlog: serverBacklog}
}

// recordAcceptError logs and counts a connection that could not be accepted.
func (d *Daemon) recordAcceptError(err error) {
	d.metrics.count(metricAcceptErrors)
	logevent.Log(d.log, logevent.AcceptFailed, zap.Error(err))
}

func (l *listeners) close() error {
	return listen.Close([]net.Listener{l.links, l.callers, l.control, l.ready, l.metrics})
}

func (d *Daemon) serveHTTP(l net.Listener, h fasthttp.RequestHandler) error {
	limiter := newConnLimiter(serverConns(d.settings().MaxFiles))
	s := &fasthttp.Server{
		Handler: limiter.shareConns(d.withBody(h)), Name: "parsley", NoDefaultServerHeader: true, Logger: discardLogger{}, MaxRequestBodySize: maxHeartbeat,
		StreamRequestBody: true,
		ReadTimeout:       serverReadTimeout, IdleTimeout: serverIdleTimeout, Concurrency: limiter.limit + limiter.limit/closingConnsShare,
		ConnState: limiter.stateChanged,
	}
	d.serversMu.Lock()
	d.servers, d.limiters = append(d.servers, s), append(d.limiters, limiter)
	d.serversMu.Unlock()
	return s.Serve(l)
}

// closeServers shuts down the servers for heartbeats, readiness checks and metrics.
func (d *Daemon) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), d.stopping.Load().exitStep(closeTimeout, clock.Now()))
	defer cancel()
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	var all errgroup.Group
	for _, s := range d.servers {
		all.Go(func() error { return s.ShutdownWithContext(ctx) })
	}
	if err := all.Wait(); err != nil {
		logevent.Log(d.log, logevent.StopIncomplete, zap.Error(err))
	}
}

const (
	// serverReadTimeout bounds the time to read one heartbeat, readiness check or
	// request of an operator. A target waits a second for the answer to a heartbeat.
	serverReadTimeout = 5 * time.Second
	// serverIdleTimeout is longer than the time between two heartbeats or scrapes.
	serverIdleTimeout = 60 * time.Second
	// closingConnsShare is the share of the connections of a server, as a divisor, that may be
	// open in addition while they are closed for others.
	closingConnsShare = 4
)

// maxHeartbeat is the largest heartbeat in bytes, far above one with all shards of a
// table.
const maxHeartbeat = 1 << 20

// handleControl handles heartbeats and departure notices of the local target.
func (d *Daemon) handleControl(ctx *fasthttp.RequestCtx) {
	id, ok := platform.TargetOfPath(string(ctx.Path()))
	if !ok {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	if err := httphead.RequestFields(&ctx.Request.Header); err != nil {
		logevent.Log(d.log, logevent.HeartbeatIgnored, zap.String("target", id), zap.Error(err))
		ctx.SetConnectionClose() // a malformed field may have stated the length of the body
		ctx.SetStatusCode(http.StatusBadRequest)
		return
	}
	answers := make(chan heartbeatResponse, 1)
	reply := func(a heartbeatResponse) { answers <- a }
	switch string(ctx.Method()) {
	case http.MethodPut:
		hb, err := platform.DecodeHeartbeat(id, ctx.PostBody())
		if err != nil {
			logevent.Log(d.log, logevent.HeartbeatIgnored, zap.String("target", id), zap.Error(err))
			ctx.SetStatusCode(http.StatusBadRequest)
			return
		}
		d.control.do(func() { d.control.handleHeartbeat(hb, reply) })
	case http.MethodDelete:
		d.control.do(func() { d.control.handleDeparture(id, reply) })
	default:
		ctx.SetStatusCode(http.StatusMethodNotAllowed)
		return
	}
	timer := time.NewTimer(heartbeatTimeout)
	defer timer.Stop()
	select {
	case a := <-answers:
		ctx.SetStatusCode(a.status)
		ctx.SetContentType("application/json")
		ctx.SetBody(a.body)
	case <-timer.C:
		ctx.SetStatusCode(http.StatusServiceUnavailable)
	}
}

// handleReady answers readiness checks.
func (d *Daemon) handleReady(ctx *fasthttp.RequestCtx) {
	v := d.control.view.Load()
	if string(ctx.Path()) != platform.ReadyPath {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	if !v.ready() {
		ctx.SetStatusCode(http.StatusServiceUnavailable)
	}
}

// handleMetrics serves the operator API and the metrics in the text format.
func (d *Daemon) handleMetrics(ctx *fasthttp.RequestCtx) {
	if d.operators.Serve(ctx) {
		return
	}
	ctx.SetContentType("text/plain; version=0.0.4")
	d.metrics.write(ctx)
}

// busy reports whether requests run or wait at the target.
func (b *backend) busy() bool {
	l := b.load()
	return l.Running+l.Waiting > 0
}

package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/transport"
	"github.com/parsleystack/parsleystack/wire"
)

const (
	// pollRate is the number of reads a second that all daemons together make
	// of one quiet partition.
	pollRate = 1.5
	// minPoll and maxPoll bound how long one read waits.
	minPoll = time.Second
	maxPoll = 8 * time.Second
	// anxiousPoll is how long a read waits while the lease depends on it.
	anxiousPoll = 600 * time.Millisecond
	// heartbeatTimeout is below the second after which a target asks another
	// daemon.
	heartbeatTimeout = 800 * time.Millisecond
	// readyNotice is how long a stopping daemon goes on taking callers, so that
	// two readiness checks have failed.
	readyNotice = 2300 * time.Millisecond
	// targetNotice is how long the target may take to end its requests after
	// that, with calls of its own.
	targetNotice = 1400 * time.Millisecond
	// stopMargin is kept of the grace time for the end of the process.
	stopMargin = 700 * time.Millisecond
	stopPoll   = 10 * time.Millisecond
	// closeTimeout bounds the end of connections after the last answer.
	closeTimeout = 300 * time.Millisecond
	// dropReport is the time between counts of lost log lines.
	dropReport = 2 * time.Second
)

// Daemon is one process beside a target.
type Daemon struct {
	current  atomic.Pointer[platform.Settings]
	log      *zap.Logger
	logLevel zapcore.Level
	dropped  func() uint64
	started  clock.Time
	metrics  *metricSet

	directory metastore.Partition
	link      *storeLink
	store     metastore.Store
	links     *transport.Pool
	server    *transport.Server
	control   *control
	members   *memberWriter
	backend   *backend
	ingress   *ingress

	serversMu sync.Mutex
	servers   []*fasthttp.Server // all but that of callers

	viewMu  sync.Mutex
	viewNew chan struct{} // closed when the next view is published
}

// New returns a daemon that Run starts. dropped returns the number of log lines
// lost since it was last called.
func New(s *platform.Settings, log *zap.Logger, dropped func() uint64) *Daemon {
	d := &Daemon{
		log: log, dropped: dropped, logLevel: zapcore.LevelOf(log.Core()), started: clock.Now(), metrics: newMetricSet(),
		directory: metastore.Partition{Topic: platform.KeyedTopic(directoryTopic)}, viewNew: make(chan struct{}),
	}
	d.current.Store(s)
	d.link = &storeLink{direct: platform.NewStoreTransport(s.Store.Addr), log: log, metrics: d.metrics, peers: d.relays}
	d.store = platform.NewStoreClient(d.link.carry)
	d.members = newMemberWriter(d)
	d.backend = newBackend(d)
	d.control = newControl(d)
	d.ingress = newIngress(d)
	hello := wire.NewHello(s.Service, ident.Node{Instance: s.Instance, Incarnation: ident.Incarnation(d.control.self.Incarnation)}, s.Zone)
	d.links = transport.NewPool(transport.Config{Hello: hello, MaxFrame: maxCallerBody + maxCallerHeader})
	d.server = transport.NewServer(transport.Config{Hello: hello, MaxFrame: maxCallerBody + maxCallerHeader}, d, log)
	d.link.links = d.links
	d.metrics.observe(d)
	return d
}

// settings returns the settings in force.
func (d *Daemon) settings() *platform.Settings { return d.current.Load() }

// Reload puts changed settings in force. Addresses and the instance stay as
// they were at the start of the process.
func (d *Daemon) Reload(s *platform.Settings) {
	old := d.settings()
	s.Instance, s.IP, s.Zone = old.Instance, old.IP, old.Zone
	s.CallerAddr, s.ReadyAddr, s.ControlAddr = old.CallerAddr, old.ReadyAddr, old.ControlAddr
	s.LinkAddr, s.MetricsAddr, s.TargetAddr, s.Store.Addr = old.LinkAddr, old.MetricsAddr, old.TargetAddr, old.Store.Addr
	if *s == *old {
		return
	}
	d.current.Store(s)
	logevent.Log(d.log, logevent.SettingsReloaded, zap.String("service", string(s.Service)))
}

// viewChanged wakes those that wait for a new view.
func (d *Daemon) viewChanged() {
	d.viewMu.Lock()
	defer d.viewMu.Unlock()
	close(d.viewNew)
	d.viewNew = make(chan struct{})
}

// nextView returns a channel that is closed when the next view is published.
func (d *Daemon) nextView() <-chan struct{} {
	d.viewMu.Lock()
	defer d.viewMu.Unlock()
	return d.viewNew
}

// relays returns the daemons by which the store may be reached, in random
// order.
func (d *Daemon) relays() []string {
	var addrs []string
	for _, s := range d.control.view.Load().services {
		for _, t := range s.targets {
			if !t.local && !t.silent {
				addrs = append(addrs, t.addr)
			}
		}
	}
	slices.SortFunc(addrs, func(string, string) int { return int(random()*3) - 1 })
	return addrs
}

// Run serves until ctx ends, and then stops as planned.
func (d *Daemon) Run(ctx context.Context) error {
	logevent.Log(d.log, logevent.SidecarStarted, zap.String("service", string(d.settings().Service)), zap.String("zone", string(d.settings().Zone)),
		zap.String("link", d.settings().LinkAddr), zap.Uint64("incarnation", d.control.self.Incarnation))
	work, end := context.WithCancel(context.Background())
	defer end()
	g, work := errgroup.WithContext(work)
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	g.Go(func() error { return ignoreClosed(d.server.Serve(listeners.links)) })
	g.Go(func() error { return ignoreClosed(d.ingress.serve(listeners.callers)) })
	g.Go(func() error { return ignoreClosed(d.serveHTTP(listeners.control, d.handleControl)) })
	g.Go(func() error { return ignoreClosed(d.serveHTTP(listeners.ready, d.handleReady)) })
	g.Go(func() error { return ignoreClosed(d.serveHTTP(listeners.metrics, d.handleMetrics)) })
	g.Go(func() error { return d.control.run(work) })
	g.Go(func() error { return d.members.run(work) })
	g.Go(func() error { return d.ingress.watch(work) })
	g.Go(func() error { return d.reportDropped(work) })
	g.Go(func() error { return d.directoryFollower().run(work) })
	g.Go(func() error { return d.configurationFollower().run(work) })
	select {
	case <-ctx.Done():
		d.stop()
	case <-work.Done():
	}
	end()
	listeners.close()
	d.closeServers()
	d.server.Close()
	d.links.Close()
	err = g.Wait()
	logevent.Log(d.log, logevent.SidecarStopped, zap.Error(err))
	return err
}

// reportDropped logs how many lines were lost, while there are any.
func (d *Daemon) reportDropped(ctx context.Context) error {
	ticker := time.NewTicker(dropReport)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if n := d.dropped(); n > 0 {
			d.metrics.set.GetOrCreateCounter(metricLinesDropped).Add(int(n))
			logevent.Log(d.log, logevent.LinesDropped, zap.Uint64("lines", n))
		}
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, transport.ErrClosed) {
		return nil
	}
	return err
}

// stop makes the daemon not ready, ends what it has read and returns. While the
// callers of this instance go elsewhere, the target still gets work. Then it
// gets no more; its calls are served until it has ended its requests. At last
// nothing new is taken.
func (d *Daemon) stop() {
	begun := clock.Now()
	logevent.Log(d.log, logevent.SidecarStopping, zap.Int("in_flight", d.ingress.inFlight()))
	d.control.do(func() { d.control.beginStop() })
	d.ingress.closing.Store(true)
	time.Sleep(readyNotice)
	d.backend.closing.Store(true)
	waitUntil(begun.Add(readyNotice+targetNotice), func() bool { return !d.backend.busy() })
	d.ingress.refusing.Store(true)
	limit := begun.Add(d.settings().GraceTime - stopMargin)
	waitUntil(limit, func() bool { return d.ingress.inFlight() == 0 && !d.backend.busy() })
	ctx, cancel := context.WithTimeout(context.Background(), max(limit.Sub(clock.Now()), stopPoll))
	defer cancel()
	if err := d.ingress.server.ShutdownWithContext(ctx); err != nil {
		logevent.Log(d.log, logevent.StopIncomplete, zap.Int("in_flight", d.ingress.inFlight()), zap.Error(err))
	}
}

// waitUntil waits for a condition, until a time at the latest.
func waitUntil(end clock.Time, done func() bool) {
	for clock.Now().Before(end) && !done() {
		time.Sleep(stopPoll)
	}
}

// listeners are the sockets of the daemon.
type listeners struct {
	links, callers, control, ready, metrics net.Listener
}

func (l *listeners) close() {
	for _, x := range []net.Listener{l.links, l.callers, l.control, l.ready, l.metrics} {
		if x != nil {
			_ = x.Close() // the process ends
		}
	}
}

func (d *Daemon) listen() (*listeners, error) {
	l := new(listeners)
	s := d.settings()
	for _, x := range []struct {
		at   *net.Listener
		addr string
	}{{&l.links, s.LinkAddr}, {&l.callers, s.CallerAddr}, {&l.control, s.ControlAddr}, {&l.ready, s.ReadyAddr}, {&l.metrics, s.MetricsAddr}} {
		ln, err := net.Listen("tcp", x.addr)
		if err != nil {
			l.close()
			return nil, err
		}
		*x.at = ln
	}
	return l, nil
}

func (d *Daemon) directoryFollower() *follower {
	return &follower{
		store: d.store, partition: d.directory, log: d.log, wait: d.directoryWait,
		take: func(b metastore.Batch, sent clock.Time, whole bool) {
			d.control.do(func() { d.control.takeDirectory(b, sent, whole) })
		},
	}
}

func (d *Daemon) configurationFollower() *follower {
	partition, key := platform.ConfigurationPartition()
	return &follower{
		store: d.store, partition: partition, log: d.log, wait: d.quietWait,
		take: func(b metastore.Batch, _ clock.Time, _ bool) {
			for i := range b.Records {
				if r := &b.Records[i]; r.Key == key {
					d.control.do(func() { d.control.takeConfiguration(r.Value) })
				}
			}
		},
	}
}

// quietWait is how long a read of a quiet partition waits: the more daemons,
// the longer, since each tells the others what it reads.
func (d *Daemon) quietWait() time.Duration {
	n := d.control.view.Load().daemons
	return min(max(time.Duration(float64(n)/pollRate*float64(time.Second)), minPoll), maxPoll)
}

func (d *Daemon) directoryWait() time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	calm := false
	if d.control.ask(ctx, func() { calm = !d.control.keyed() || d.control.agent.KeptByPromises(d.control.others(), clock.Now()) }) && calm {
		return d.quietWait()
	}
	return anxiousPoll
}

// ServeCellMessage implements transport.Handler: it takes a status.
func (d *Daemon) ServeCellMessage(_ ident.Node, body []byte) {
	s, err := fleet.DecodeStatus(body)
	if err != nil {
		logevent.Log(d.log, logevent.RecordIgnored, zap.Error(err))
		return
	}
	select {
	case d.control.events <- func() { d.control.takeStatus(s) }:
	default: // the next status brings the same
	}
}

// ServeCall implements transport.Handler.
func (d *Daemon) ServeCall(ctx context.Context, _ ident.Node, kind wire.CallKind, body []byte) ([]byte, error) {
	switch kind {
	case callStore:
		return d.link.serveRelay(ctx, body)
	case callConfig:
		var value []byte
		d.control.ask(ctx, func() { value = d.control.rawCfg })
		if value == nil {
			return nil, errors.New("no configuration is known here")
		}
		return value, nil
	}
	return nil, errors.New("unknown call; run daemons of one version")
}

func (d *Daemon) serveHTTP(l net.Listener, h fasthttp.RequestHandler) error {
	s := &fasthttp.Server{Handler: h, Name: "parsley", NoDefaultServerHeader: true, Logger: quiet{}, MaxRequestBodySize: maxHeartbeat}
	d.serversMu.Lock()
	d.servers = append(d.servers, s)
	d.serversMu.Unlock()
	return s.Serve(l)
}

// closeServers ends the connections of targets, checks and collectors.
func (d *Daemon) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	for _, s := range d.servers {
		if err := s.ShutdownWithContext(ctx); err != nil {
			logevent.Log(d.log, logevent.StopIncomplete, zap.Error(err))
		}
	}
}

// maxHeartbeat is far above a heartbeat with all rows of a table.
const maxHeartbeat = 1 << 20

// handleControl takes the heartbeats of the own target.
func (d *Daemon) handleControl(ctx *fasthttp.RequestCtx) {
	id, ok := platform.TargetOfPath(string(ctx.Path()))
	if !ok {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	answers := make(chan heartbeatAnswer, 1)
	reply := func(a heartbeatAnswer) { answers <- a }
	switch string(ctx.Method()) {
	case http.MethodPut:
		hb, err := platform.DecodeHeartbeat(id, ctx.PostBody())
		if err != nil {
			logevent.Log(d.log, logevent.HeartbeatBad, zap.String("target", id), zap.Error(err))
			ctx.SetStatusCode(http.StatusBadRequest)
			return
		}
		d.control.do(func() { d.control.takeHeartbeat(hb, reply) })
	case http.MethodDelete:
		d.control.do(func() { reply(d.control.takeLeave(id)) })
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

// handleMetrics writes the metrics in the text format.
func (d *Daemon) handleMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	d.metrics.write(ctx)
}

// busy reports whether requests run or wait at the target.
func (b *backend) busy() bool {
	l := b.load()
	return l.Running+l.Waiting > 0
}

package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"github.com/parsleystack/parsleystack/admin"
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
	// maxConfigurationPoll is the same for the configuration, of which other
	// daemons tell the newest version. The store takes 30 s at most.
	maxConfigurationPoll = 25 * time.Second
	// startTime is how long a process reads the directory at most once in
	// startGap: in a fleet that starts, each daemon records itself.
	startTime = 3 * time.Second
	startGap  = 250 * time.Millisecond
	// followCheck is the time between looks whether this daemon is to follow the
	// directory itself.
	followCheck = 100 * time.Millisecond
	// anxiousPoll is how long a read waits while the lease depends on it.
	anxiousPoll = 600 * time.Millisecond
	// heartbeatTimeout is below the second after which a target asks another
	// daemon.
	heartbeatTimeout = 800 * time.Millisecond
	// readyNotice is how long a stopping daemon goes on taking callers, so that
	// two readiness checks have failed.
	readyNotice = 2300 * time.Millisecond
	// targetNotice is how long the target may take to end its requests after
	// that, with calls of its own. The platform lets a daemon break off, at the
	// end of its grace, what it has read within 3 s of SIGTERM, and nothing later.
	targetNotice = 600 * time.Millisecond
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
	operators *admin.Handler

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
	d.operators = admin.NewHandler(&operator{d})
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
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
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
	if err := listeners.close(); err != nil {
		logevent.Log(d.log, logevent.StopIncomplete, zap.Error(err))
	}
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
	case callNews:
		return nil, d.serveNews(body)
	}
	return nil, errors.New("unknown call; run daemons of one version")
}

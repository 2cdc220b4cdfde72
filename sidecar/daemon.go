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
	"github.com/parsleystack/parsleystack/egress"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/quarantine"
	"github.com/parsleystack/parsleystack/recvlimit"
	"github.com/parsleystack/parsleystack/transport"
	"github.com/parsleystack/parsleystack/wire"
)

const (
	// fleetPollRate is the number of reads per second that all daemons together
	// make of one idle partition.
	fleetPollRate = 1.5
	// minPoll and maxPoll bound how long one read waits for a record.
	minPoll = time.Second
	maxPoll = 8 * time.Second
	// configurationPoll is how long a read of the configuration waits for a record. It
	// may be long, since checkConfiguration does not rely on it. The store accepts at
	// most 30 s.
	configurationPoll = 25 * time.Second
	// startupPeriod is the time after its start in which a process reads the
	// directory at most once in startupReadInterval: while a fleet starts, each
	// daemon appends its own record.
	startupPeriod       = 3 * time.Second
	startupReadInterval = 250 * time.Millisecond
	// readerCheckInterval is the time between checks whether this daemon must read
	// the directory itself.
	readerCheckInterval = 100 * time.Millisecond
	// lowLeasePoll is how long a read waits while the lease depends on reads.
	lowLeasePoll = 600 * time.Millisecond
	// heartbeatTimeout bounds the handling of a heartbeat. It is below the second
	// after which a target tries another daemon.
	heartbeatTimeout = 800 * time.Millisecond
	stopPoll         = 10 * time.Millisecond
	// closeTimeout bounds the closing of connections after the last response.
	closeTimeout = 300 * time.Millisecond
	// dropReportInterval is the time between reports of dropped log lines.
	dropReportInterval = 2 * time.Second
)

// Daemon is the process that runs beside one target: it routes the requests of
// callers on its instance and serves the requests for its target.
type Daemon struct {
	currentSettings atomic.Pointer[platform.Settings]
	log             *zap.Logger
	logLevel        zapcore.Level
	takeDropped     func() uint64
	started         clock.Time
	metrics         *metricSet
	memory          *recvlimit.Pool // of messages of all sources

	directory metastore.Partition
	storeLink *storeLink
	// storeTransport holds the connections of direct calls.
	storeTransport      *platform.StoreTransport
	directoryPolled     pollProgress // of the directory's follower
	configurationPolled pollProgress // of the configuration's follower
	store               metastore.Store
	// directStore makes no relayed calls.
	directStore metastore.Store
	peerLinks   *transport.Pool
	egress      *egress.Link // nil if the rate of the instance's link is not known
	server      *transport.Server
	control     *control
	members     *memberWriter
	backend     *backend
	// suspects is the evidence about requests that crash targets; it is never nil.
	suspects  atomic.Pointer[quarantine.Table]
	ingress   *ingress
	operators *admin.Handler
	stopping  atomic.Pointer[stopSchedule] // nil unless the daemon is stopping

	serversMu sync.Mutex
	servers   []*fasthttp.Server // all but the one for callers
	limiters  []*connLimiter     // of their connections

	viewMu       sync.Mutex
	viewReplaced chan struct{} // closed when the next view is published
}

// New returns a daemon that is not started; Run starts it. dropped returns the
// number of log lines that were dropped since its last call.
func New(s *platform.Settings, log *zap.Logger, dropped func() uint64) *Daemon {
	d := &Daemon{
		log: log, takeDropped: dropped, logLevel: zapcore.LevelOf(log.Core()), started: clock.Now(), metrics: newMetricSet(),
		memory:    recvlimit.NewPool(messageMemory(s.MemoryBytes)),
		directory: metastore.Partition{Topic: platform.KeyedTopic(directoryTopic)}, viewReplaced: make(chan struct{}),
	}
	if s.MemoryBytes > 0 {
		d.memory.BeforeLarge((&collector{limit: int(collectPart * float64(s.MemoryBytes))}).collectFor)
	}
	d.currentSettings.Store(s)
	d.suspects.Store(quarantine.NewTable(quarantine.NewLedger()))
	d.storeTransport = platform.NewStoreTransport(s.Store.Addr)
	d.storeLink = &storeLink{direct: d.storeTransport.RoundTrip, log: log, metrics: d.metrics, peers: d.relayAddrs}
	store := platform.NewStoreClient(d.storeLink.roundTrip)
	d.store, d.directStore = store, store.WithTransport(d.storeLink.directOnly)
	d.members = newMemberWriter(d)
	d.backend = newBackend(d)
	d.control = newControl(d)
	d.ingress = newIngress(d)
	hello := wire.NewHello(s.Service, ident.Node{Instance: s.Instance, Incarnation: ident.Incarnation(d.control.self.Incarnation)}, s.Zone)
	d.egress = egress.NewLink(s.LinkRate)
	links := transport.Config{
		Hello: hello, MaxFrame: maxCallerBody + maxCallerHeader, Egress: d.egress, Memory: d.memory, VerdictWait: verdictWait,
		MaxBacklog: min(transport.DefaultMaxBacklog, d.memory.Limit()/linkBacklogPart), MaxConns: s.MaxFiles / linkFilesPart,
		MaxHandshakes: min(s.MaxFiles/handshakeFilesPart, waitingLinks(s.MemoryBytes)),
	}
	d.peerLinks = transport.NewPool(links)
	d.server = transport.NewServer(links, d, log)
	d.storeLink.links = d.peerLinks
	d.operators = admin.NewHandler(&operator{d})
	d.metrics.registerGauges(d)
	return d
}

// settings returns the current settings.
func (d *Daemon) settings() *platform.Settings { return d.currentSettings.Load() }

// Reload applies changed settings. Addresses, instance and zone keep their values
// from the start of the process. It modifies s.
func (d *Daemon) Reload(s *platform.Settings) {
	old := d.settings()
	s.Instance, s.IP, s.Zone = old.Instance, old.IP, old.Zone
	s.CallerAddr, s.ReadyAddr, s.ControlAddr = old.CallerAddr, old.ReadyAddr, old.ControlAddr
	s.LinkAddr, s.AnnounceAddr, s.MetricsAddr = old.LinkAddr, old.AnnounceAddr, old.MetricsAddr
	s.TargetAddr, s.Store.Addr, s.HedgeShare = old.TargetAddr, old.Store.Addr, old.HedgeShare
	if *s == *old {
		return
	}
	d.currentSettings.Store(s)
	logevent.Log(d.log, logevent.SettingsReloaded, zap.String("service", string(s.Service)))
}

// viewChanged wakes the goroutines that wait for a new view.
func (d *Daemon) viewChanged() {
	d.viewMu.Lock()
	defer d.viewMu.Unlock()
	close(d.viewReplaced)
	d.viewReplaced = make(chan struct{})
}

// nextView returns a channel that is closed when the next view is published.
func (d *Daemon) nextView() <-chan struct{} {
	d.viewMu.Lock()
	defer d.viewMu.Unlock()
	return d.viewReplaced
}

// relayAddrs returns the addresses of daemons that may relay calls to the store, in
// random order.
func (d *Daemon) relayAddrs() []string {
	var addrs []string
	for _, s := range d.control.view.Load().services {
		for _, t := range s.targets {
			if !t.local && !t.suspected {
				addrs = append(addrs, t.addr)
			}
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs
}

// Run serves until ctx ends and then shuts down gracefully. It returns early with an
// error if a listener cannot be opened or a server fails.
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
	g.Go(func() error { return d.ingress.cancelAbandoned(work) })
	g.Go(func() error { return d.reportDropped(work) })
	g.Go(func() error { return d.reportMemory(work) })
	g.Go(func() error { return d.reportCallerConns(work) })
	g.Go(func() error { return d.shareDescriptors(work) })
	g.Go(func() error { return d.directoryFollower().run(work) })
	g.Go(func() error { return d.configurationFollower().run(work) })
	select {
	case <-ctx.Done():
		d.stop()
		d.shutdownLinks()
	case <-work.Done():
	}
	end()
	if err := listeners.close(); err != nil {
		logevent.Log(d.log, logevent.StopIncomplete, zap.Error(err))
	}
	d.closeServers()
	d.server.Close()
	d.peerLinks.Close()
	err = g.Wait()
	logevent.Log(d.log, logevent.SidecarStopped, zap.Error(err))
	return err
}

// shutdownLinks lets other daemons receive the answers to the requests that they have
// sent, refusals included, and sends them to other connections. A request on a link that
// is closed without an answer would have an unknown outcome.
func (d *Daemon) shutdownLinks() {
	ctx, cancel := context.WithTimeout(context.Background(), d.stopping.Load().exitStep(closeTimeout, clock.Now()))
	defer cancel()
	if err := d.server.Shutdown(ctx); err != nil {
		logevent.Log(d.log, logevent.StopIncomplete, zap.Int("in_flight", d.ingress.inFlight()), zap.Error(err))
	}
}

// reportDropped logs and counts dropped log lines until ctx ends.
func (d *Daemon) reportDropped(ctx context.Context) error {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if n := d.takeDropped(); n > 0 {
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

// ServeCellMessage implements transport.Handler. The messages are statuses; one is
// dropped if the event queue is full.
func (d *Daemon) ServeCellMessage(_ ident.Node, body []byte) {
	s, err := fleet.DecodeStatus(body)
	if err != nil {
		logevent.Log(d.log, logevent.RecordIgnored, zap.Error(err))
		return
	}
	select {
	case d.control.events <- func() { d.control.handleStatus(s) }:
	default: // the next status carries the same state
	}
}

// ServeCall implements transport.Handler.
func (d *Daemon) ServeCall(ctx context.Context, _ ident.Node, kind wire.CallKind, body []byte) ([]byte, error) {
	switch kind {
	case callStore:
		return d.storeLink.serveRelay(ctx, body)
	case callConfig:
		var value []byte
		d.control.doAndWait(ctx, func() { value = d.control.rawConfig })
		if value == nil {
			return nil, errors.New("this daemon has no configuration yet")
		}
		return value, nil
	case callDirectoryUpdate:
		return nil, d.serveDirectoryUpdate(body)
	case callDirectoryRecords:
		return d.serveRecords(ctx, body)
	case callEvidence:
		return nil, d.serveEvidence(ctx, body)
	case callDeparture:
		return nil, d.serveDeparture(ctx, body)
	}
	return nil, errors.New("unknown call kind; run the same version on all daemons")
}

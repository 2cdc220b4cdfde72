// Package daemon assembles the components of parsleyd: one Daemon runs beside
// one target. It accepts callers' requests for every service, and all requests
// to its own target pass through it.
package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/admin"
	"github.com/parsleystack/parsleystack/audit"
	"github.com/parsleystack/parsleystack/cell/driver"
	"github.com/parsleystack/parsleystack/certs"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/directory"
	"github.com/parsleystack/parsleystack/entry"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/lease"
	"github.com/parsleystack/parsleystack/owner"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/rangeload"
	"github.com/parsleystack/parsleystack/route"
	"github.com/parsleystack/parsleystack/settings"
	"github.com/parsleystack/parsleystack/target"
	"github.com/parsleystack/parsleystack/transport"
	"github.com/parsleystack/parsleystack/wire"
)

// Daemon is the daemon process that runs beside one target.
type Daemon struct {
	settings *settings.Daemon
	certs    *certs.Source // nil without TLS
	log      *zap.Logger
	node     ident.Node
	metrics  *daemonMetrics

	platform  *platformlog.Client
	pool      *transport.Pool
	server    *transport.Server
	messenger *transport.Messenger
	leases    *lease.Table
	target    *target.Client
	owner     *owner.Owner
	router    *route.Router
	directory *directory.Directory
	gateway   *entry.Gateway
	follower  *config.Follower
	admin     *admin.Handler

	peerOffsets offsetTable

	load         rangeload.Recorder
	loadReporter rangeload.Reporter // accessed only by the goroutine of reportLoad

	member       atomic.Pointer[driver.Driver] // nil until the daemon's own service is configured
	specs        chan *config.InForce          // newest configuration, for the goroutine of applyConfig
	drainStarted chan struct{}                 // closed when a planned stop starts
	draining     atomic.Bool
	targetUp     atomic.Bool
	faults       faultList

	ctx context.Context // canceled when Run returns

	// Accessed only by the goroutine of the cell driver.
	readsConfig bool
	provisional bool // last logged state: assignments are not in the log yet
	peerNodes   []ident.Node
}

// New returns a daemon that Run starts. source is nil if the settings disable
// TLS.
func New(s *settings.Daemon, source *certs.Source, log *zap.Logger) *Daemon {
	d := &Daemon{
		settings:     s,
		certs:        source,
		log:          log,
		node:         ident.Node{Instance: s.Instance, Incarnation: ident.Incarnation(time.Now().UnixNano())},
		platform:     platformlog.NewClient(platformlog.ClientConfig{Addr: s.Log.Addr}),
		leases:       lease.NewTable(clock.Now),
		router:       route.NewRouter(),
		specs:        make(chan *config.InForce, 1),
		drainStarted: make(chan struct{}),
		readsConfig:  true,
	}
	d.buildNetwork(source)
	d.buildOwner()
	d.buildEntry()
	d.buildConfig()
	recorder := audit.NewRecorder(&backend{d: d}, d.platform, log, d.node, s.Service)
	d.admin = admin.NewHandler(recorder, s.TLS.Operators...)
	d.admin.Refused = admin.LogRefused(log)
	d.metrics = newMetrics(d)
	return d
}

func (d *Daemon) buildNetwork(source *certs.Source) {
	cfg := transport.Config{
		Hello: wire.NewHello(d.settings.Service, d.node, d.settings.Zone),
	}
	secureTransport(&cfg, source)
	d.pool = transport.NewPool(cfg)
	d.server = transport.NewServer(cfg, d, d.log)
	d.messenger = transport.NewMessenger(d.node, d.pool, d.server, d)
}

func (d *Daemon) buildOwner() {
	d.target = target.New(target.Config{
		Addr:     d.settings.Target.Addr,
		MaxConns: d.settings.Target.Conns - target.ControlConns,
		MaxBody:  d.settings.Limits.ResponseBytes,
	})
	d.owner = owner.New(owner.Config{
		Service:     d.settings.Service,
		Leases:      d.leases,
		Target:      d.target,
		Hints:       d.hint,
		Observe:     d.load.Observe,
		LeaseMargin: d.settings.Lease.TargetMargin,
		Log:         d.log,
	})
}

func (d *Daemon) buildEntry() {
	d.directory = directory.New(directory.Config{
		Region: d.settings.Region,
		Log:    d.platform,
		Client: &ownersClient{pool: d.pool},
		Local:  d.localOwners,
		Peers:  d.cellAddrs,
	})
	d.gateway = entry.New(entry.Config{
		Self:     d.node,
		Zone:     d.settings.Zone,
		Router:   d.router,
		Pool:     d.pool,
		Source:   d.directory,
		Outdated: func() bool { return d.follower.Status().Outdated() },
		MaxBody:  d.settings.Limits.RequestBytes,
		MaxConns: d.settings.Limits.CallerConns,
		Log:      d.log,
	})
}

func (d *Daemon) buildConfig() {
	params := config.DefaultParameters(d.settings.Lease.SnapshotInterval)
	params.Author = string(d.settings.Instance)
	d.follower = config.NewFollower(config.FollowerConfig{
		Parameters: params,
		Log:        d.platform,
		Peers:      d,
		Logger:     d.log,
		OnChange:   d.configChanged,
	})
}

// Node returns the identity of this process.
func (d *Daemon) Node() ident.Node { return d.node }

// ServeRequest implements transport.Handler.
func (d *Daemon) ServeRequest(e *transport.Exchange) { d.owner.ServeRequest(e) }

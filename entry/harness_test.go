package entry_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/entry"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/lease"
	"github.com/parsleystack/parsleystack/owner"
	"github.com/parsleystack/parsleystack/route"
	"github.com/parsleystack/parsleystack/service"
	"github.com/parsleystack/parsleystack/target"
	"github.com/parsleystack/parsleystack/transport"
	"github.com/parsleystack/parsleystack/wire"
)

const longLease = time.Hour

// fakeTarget handles requests with a function and counts the runs by method and
// URI.
type fakeTarget struct {
	addr string

	mu   sync.Mutex
	runs map[string]int
	run  func(ctx *fasthttp.RequestCtx)
}

func newFakeTarget(t testing.TB) *fakeTarget {
	f := &fakeTarget{runs: make(map[string]int)}
	f.run = func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok " + string(ctx.RequestURI())) }
	l := listen(t)
	f.addr = l.Addr().String()
	server := &fasthttp.Server{Handler: f.handle, Logger: nullLogger{}, CloseOnShutdown: true}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return f
}

type nullLogger struct{}

func (nullLogger) Printf(string, ...any) {}

func (f *fakeTarget) handle(ctx *fasthttp.RequestCtx) {
	f.mu.Lock()
	if f.runs != nil {
		f.runs[string(ctx.Method())+" "+string(ctx.RequestURI())]++
	}
	run := f.run
	f.mu.Unlock()
	run(ctx)
}

func (f *fakeTarget) setRun(run func(ctx *fasthttp.RequestCtx)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.run = run
}

func (f *fakeTarget) runCount(call string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[call]
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// ownerDaemon is an owner with its transport server and its client of the target.
type ownerDaemon struct {
	node   ident.Node
	addr   string
	leases *lease.Table
	owner  *owner.Owner
	server *transport.Server
	client *target.Client

	listener *closingListener
}

// handler is a transport.Handler that serves requests only.
type handler struct{ *owner.Owner }

func (handler) ServeCellMessage(ident.Node, []byte) {}

func (handler) ServeCall(context.Context, ident.Node, wire.CallKind, []byte) ([]byte, error) {
	return nil, nil
}

func newOwnerDaemon(t testing.TB, name string, spec service.Spec, targetAddr string, change func(*owner.Config)) *ownerDaemon {
	d := &ownerDaemon{node: ident.Node{Instance: ident.Instance(name), Incarnation: 1}, leases: lease.NewTable(clock.Now)}
	d.client = target.New(target.Config{Addr: targetAddr, MaxConns: spec.Conns})
	cfg := owner.Config{Service: spec.Name, Leases: d.leases, Target: d.client}
	if change != nil {
		change(&cfg)
	}
	d.owner = owner.New(cfg)
	d.owner.SetSpec(1, spec)
	hello := wire.NewHello(spec.Name, d.node, "z1")
	d.server = transport.NewServer(transport.Config{Hello: hello}, handler{d.owner}, nil)
	d.listener = &closingListener{Listener: listen(t)}
	d.addr = d.listener.Addr().String()
	go func() { _ = d.server.Serve(d.listener) }()
	t.Cleanup(func() {
		d.server.Close()
		d.client.Close()
	})
	return d
}

// setGrant makes r the only range that the daemon holds.
func (d *ownerDaemon) setGrant(r keyspace.Range, seq uint64, releasing bool) {
	d.leases.Store([]cell.Holding{d.holding(r, seq, releasing)})
}

func (d *ownerDaemon) holding(r keyspace.Range, seq uint64, releasing bool) cell.Holding {
	return cell.Holding{
		Grant:     cell.Grant{Range: r, Owner: d.node, Token: cell.Token{Term: 1, Seq: seq}},
		Expires:   clock.Now().Add(longLease),
		Releasing: releasing,
	}
}

func (d *ownerDaemon) routeEntry(r keyspace.Range, seq uint64) route.Entry {
	return route.Entry{Range: r, Owner: d.node, Addr: d.addr, Zone: "z1", Token: cell.Token{Term: 1, Seq: seq}}
}

// entryDaemon is a listening gateway with its connection pool and a client.
type entryDaemon struct {
	addr    string
	router  *route.Router
	gateway *entry.Gateway
	pool    *transport.Pool
	client  *fasthttp.HostClient
}

func newEntryDaemon(t testing.TB, source route.Source, specs ...service.Spec) *entryDaemon {
	router := route.NewRouter()
	router.SetSpecs(1, specs)
	return startEntryDaemon(t, entry.Config{Router: router, Source: source})
}

// newEntryDaemonWithHoldLimit returns an entry daemon that holds at most limit
// requests.
func newEntryDaemonWithHoldLimit(t testing.TB, router *route.Router, limit int) *entryDaemon {
	return startEntryDaemon(t, entry.Config{Router: router, HoldLimit: limit})
}

func startEntryDaemon(t testing.TB, cfg entry.Config) *entryDaemon {
	d := &entryDaemon{router: cfg.Router}
	node := ident.Node{Instance: "entry", Incarnation: 1}
	d.pool = transport.NewPool(transport.Config{Hello: wire.NewHello("reports", node, "z1")})
	cfg.Self, cfg.Zone, cfg.Pool = node, "z1", d.pool
	d.gateway = entry.New(cfg)
	l := listen(t)
	d.addr = l.Addr().String()
	go func() { _ = d.gateway.Serve(l) }()
	d.client = &fasthttp.HostClient{Addr: d.addr, MaxIdemponentCallAttempts: 1, MaxConns: 4096, DisablePathNormalizing: true}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		d.client.CloseIdleConnections()
		_ = d.gateway.Shutdown(ctx)
		d.pool.Close()
	})
	return d
}

// reply is a response as the caller receives it.
type reply struct {
	status     int
	outcome    string
	reason     string
	retryAfter string
	body       string
	header     func(string) string
}

func (d *entryDaemon) send(t testing.TB, method, uri string, headers map[string]string) reply {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + d.addr + uri)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	if err := d.client.DoTimeout(req, resp, 30*time.Second); err != nil {
		t.Fatalf("%s %s: %v", method, uri, err)
	}
	header := func(name string) string { return string(resp.Header.Peek(name)) }
	return reply{
		status: resp.StatusCode(), outcome: header(entry.HeaderOutcome), reason: header(entry.HeaderReason),
		retryAfter: header("Retry-After"), body: string(resp.Body()), header: header,
	}
}

func (r reply) want(t testing.TB, status int, kind, reason string) {
	t.Helper()
	if r.status != status || r.outcome != kind || r.reason != reason {
		t.Fatalf("got %d %s %s (%s), want %d %s %s", r.status, r.outcome, r.reason, r.body, status, kind, reason)
	}
}

// reports returns the configuration of a service divided by key.
func reports() service.Spec {
	return service.Spec{
		Name:   "reports",
		Key:    service.KeyRule{Source: service.KeyPathSegment, Segment: 0},
		Ranges: 4,
		Methods: []service.Method{
			{HTTPMethod: "GET", Idempotent: true, Priority: 1, Timeout: 2 * time.Second},
			{HTTPMethod: "*", Priority: 2, Timeout: 2 * time.Second},
		},
		Fenced: true, RetryRatio: 0.2, Slots: 8, Conns: 32, QueueLimit: 8,
	}
}

// bookings returns the configuration of a service that is not divided by key.
func bookings() service.Spec {
	spec := reports()
	spec.Name = "bookings"
	spec.Key = service.KeyRule{}
	return spec
}

// serveExample serves a gateway on a local address.
func serveExample(g *entry.Gateway) (addr string, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = g.Serve(l) }()
	return l.Addr().String(), func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = g.Shutdown(ctx)
	}
}

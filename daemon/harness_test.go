package daemon

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
	"github.com/parsleystack/parsleystack/settings"
	"github.com/parsleystack/parsleystack/standin/target"
)

const waitLimit = 30 * time.Second // bounds a test that fails

// ended is a context that has ended, for a shutdown that waits for nobody.
var ended = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// deployment is a cell of daemons with stand-ins on loopback.
type deployment struct {
	t       *testing.T
	log     *logtest.Log
	logAddr string
	daemons []*Daemon
	targets []*target.Target
	stops   []context.CancelFunc
	ended   []chan error
}

func listenLoopback(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func startDeployment(t *testing.T, size int) *deployment {
	d := &deployment{t: t, log: logtest.New(logtest.Options{Seed: 1})}
	l := listenLoopback(t)
	d.logAddr = l.Addr().String()
	server := logtest.NewServer(d.log)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Shutdown(ended) })
	for i := range size {
		d.start(i)
	}
	for i := range size {
		d.wait("the daemon listens", func() bool { return d.listens(i) })
	}
	return d
}

func (d *deployment) start(i int) {
	name := fmt.Sprint("reports-", i)
	l := listenLoopback(d.t)
	tgt := target.New(target.Config{Name: name, Seed: uint64(i)})
	go func() { _ = tgt.Serve(l) }()
	d.t.Cleanup(func() { _ = tgt.Shutdown(context.Background()) })

	// The daemon is given open listeners: another process may take a port
	// that is chosen first and opened later.
	ls := &listeners{callers: listenLoopback(d.t), daemons: listenLoopback(d.t), admin: listenLoopback(d.t)}
	daemon := New(d.settings(i, name, l.Addr().String(), ls), nil, zap.NewNop())
	ctx, stop := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- daemon.run(ctx, ls) }()
	d.daemons = append(d.daemons, daemon)
	d.targets = append(d.targets, tgt)
	d.stops = append(d.stops, stop)
	d.ended = append(d.ended, result)
}

func (d *deployment) listens(i int) bool {
	conn, err := net.Dial("tcp", d.daemons[i].settings.Listen.Callers)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (d *deployment) settings(i int, name, targetAddr string, ls *listeners) *settings.Daemon {
	s := settings.Defaults()
	s.Instance, s.Region, s.Zone, s.Service = ident.Instance(name), "r", ident.Zone(fmt.Sprint("z", i%3)), "reports"
	s.Listen = settings.Listen{Callers: ls.callers.Addr().String(), Daemons: ls.daemons.Addr().String(), Admin: ls.admin.Addr().String()}
	s.Target = settings.Target{Addr: targetAddr, Slots: 20, Conns: 130}
	s.Log.Addr = d.logAddr
	s.TLS.Insecure = true
	s.Lease.DrainLimit = 10 * time.Second
	return s
}

const serviceFile = `
service: reports
key: {path_segment: 0}
ranges: 12
targets: {check_tokens: true, slots: 20, connections: 130}
requests:
  - {method: GET, idempotent: true, timeout: 5s}
  - {method: POST, idempotent: false, timeout: 5s}
`

// publish puts the service into force.
func (d *deployment) publish() {
	d.t.Helper()
	candidates, err := config.Collect(writeFile(d.t, "reports.parsley.yaml", serviceFile))
	if err != nil {
		d.t.Fatal(err)
	}
	nonce := uint64(0)
	p := &config.Publisher{
		Log:            platformlog.NewClient(platformlog.ClientConfig{Addr: d.logAddr, LongPoll: 10 * time.Millisecond}),
		Author:         "test",
		Nonce:          func() uint64 { nonce++; return nonce },
		OutcomeTimeout: waitLimit,
		PollInterval:   10 * time.Millisecond,
	}
	plan, err := p.Plan(context.Background(), candidates, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := p.Publish(context.Background(), plan); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) wait(what string, done func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !done() {
		if time.Now().After(deadline) {
			d.t.Fatalf("gave up waiting until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// waitServed waits until the daemons with the indexes hold all ranges.
func (d *deployment) waitServed(indexes ...int) {
	d.t.Helper()
	d.wait("all ranges are held", func() bool {
		held := 0
		for _, i := range indexes {
			held += len(d.daemons[i].leases.Holdings())
		}
		return held == 12
	})
}

// reply is what a caller received.
type reply struct {
	status  int
	outcome string
	body    string
}

// do sends a request through the daemon with the index.
func (d *deployment) do(i int, method, path, idempotencyKey string) reply {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + d.daemons[i].settings.Listen.Callers + path)
	req.Header.SetMethod(method)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	if err := fasthttp.DoTimeout(req, resp, waitLimit); err != nil {
		d.t.Errorf("%s %s: %v", method, path, err)
		return reply{}
	}
	return reply{
		status:  resp.StatusCode(),
		outcome: string(resp.Header.Peek("Parsley-Outcome")),
		body:    string(resp.Body()),
	}
}

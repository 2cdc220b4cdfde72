package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/connprobe"
	"github.com/parsleystack/parsleystack/dispatch"
	"github.com/parsleystack/parsleystack/ident"
)

// Gateway serves callers' requests. All methods are safe for concurrent use.
type Gateway struct {
	cfg      Config
	server   *fasthttp.Server
	ids      requestIDs
	watcher  *watcher
	stats    Stats
	random   atomic.Uint64
	draining atomic.Bool
	ctx      context.Context // canceled by Shutdown
	cancel   context.CancelFunc

	holders sync.Map // ident.Service -> *holder
	budgets sync.Map // ident.Service -> *dispatch.Budget
}

// New returns a gateway that does not listen yet.
func New(cfg Config) *Gateway {
	cfg = cfg.withDefaults()
	g := &Gateway{cfg: cfg, ids: newRequestIDs(cfg.Self), watcher: newWatcher()}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.server = &fasthttp.Server{
		Handler:                      g.handle,
		ErrorHandler:                 g.handleError,
		Name:                         "parsley",
		ReadBufferSize:               cfg.MaxHeader,
		MaxRequestBodySize:           cfg.MaxBody,
		ReadTimeout:                  cfg.ReadTimeout,
		IdleTimeout:                  cfg.IdleTimeout,
		Concurrency:                  cfg.MaxConns,
		DisablePreParseMultipartForm: true,
		NoDefaultContentType:         true,
		LazyRequestTime:              true,
		CloseOnShutdown:              true,
		Logger:                       discardLogger{},
	}
	go g.watcher.run(g.ctx, cfg.Now)
	return g
}

// Serve serves the connections of l until Shutdown.
func (g *Gateway) Serve(l net.Listener) error { return g.server.Serve(l) }

// Shutdown stops accepting connections and waits until all requests in flight
// are answered or ctx ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.draining.Store(true)
	err := g.server.ShutdownWithContext(ctx)
	g.cancel()
	return err
}

// Stats returns the gateway's counters.
func (g *Gateway) Stats() *Stats { return &g.stats }

func (g *Gateway) budget(svc ident.Service) *dispatch.Budget {
	if g.cfg.DisableRetryBudget {
		return nil
	}
	if v, ok := g.budgets.Load(svc); ok {
		return v.(*dispatch.Budget)
	}
	v, _ := g.budgets.LoadOrStore(svc, new(dispatch.Budget))
	return v.(*dispatch.Budget)
}

func (g *Gateway) holder(svc ident.Service) *holder {
	if v, ok := g.holders.Load(svc); ok {
		return v.(*holder)
	}
	v, _ := g.holders.LoadOrStore(svc, newHolder(g, svc))
	return v.(*holder)
}

// handleError responds to requests that could not be read.
func (g *Gateway) handleError(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	writeProblem(ctx, readProblem(err, ctx.Conn()))
}

// readProblem maps an error of reading a request from conn to a problem.
func readProblem(err error, conn net.Conn) *problem {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		return problemHeaderTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return problemBodyTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return problemTimeout
	case connprobe.CutShort(err, conn):
		return problemCutShort
	}
	return problemMalformed
}

// discardLogger drops the log messages of fasthttp about single connections.
// Requests are counted by outcome instead.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// nextRandom returns pseudorandom bits for choosing a daemon.
func (g *Gateway) nextRandom() uint64 {
	x := g.random.Add(0x9e3779b97f4a7c15) // splitmix64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

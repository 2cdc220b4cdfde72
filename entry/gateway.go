package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/dispatch"
	"github.com/parsleystack/parsleystack/ident"
)

// Gateway serves callers. All methods may be called by any goroutine.
type Gateway struct {
	cfg      Config
	server   *fasthttp.Server
	ids      requestIDs
	watcher  *watcher
	stats    Stats
	random   atomic.Uint64
	draining atomic.Bool
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc

	holders sync.Map // ident.Service -> *holder
	budgets sync.Map // ident.Service -> *dispatch.Budget
}

// New returns a gateway that is not listening yet.
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
		Logger:                       quietLogger{},
	}
	go g.watcher.run(g.ctx, cfg.Now)
	return g
}

// Serve answers the connections of l until Shutdown.
func (g *Gateway) Serve(l net.Listener) error { return g.server.Serve(l) }

// Shutdown stops accepting connections, answers all requests in flight and
// returns, or gives up when ctx ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.draining.Store(true)
	err := g.server.ShutdownWithContext(ctx)
	g.cancel()
	return err
}

// Stats returns the gateway's counters.
func (g *Gateway) Stats() *Stats { return &g.stats }

func (g *Gateway) budget(svc ident.Service) *dispatch.Budget {
	if g.cfg.NoRetryBudget {
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

// handleError answers requests that could not be read.
func (g *Gateway) handleError(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	writeProblem(ctx, unreadable(err))
}

func unreadable(err error) *problem {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		return problemHeaderTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return problemBodyTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return problemSlow
	}
	return problemMalformed
}

// quietLogger drops what fasthttp says of single connections; the gateway
// counts them instead.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}

// nextRandom returns random bits for the choice of a daemon.
func (g *Gateway) nextRandom() uint64 {
	x := g.random.Add(0x9e3779b97f4a7c15) // splitmix64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

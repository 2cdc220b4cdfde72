package probe

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/parsleystack/parsleystack/standin/target"
)

// Config holds the parameters of a Watcher.
type Config struct {
	Entry    string        // address of a daemon's callers' port
	Service  string        // service whose keys are read
	Keys     int           // number of keys
	Interval time.Duration // interval between two requests for a key
	Timeout  time.Duration // of one request
	MinGap   time.Duration // minimum length of a gap that is written
}

// Watcher reads a set of keys continuously and writes the gaps between responses.
type Watcher struct {
	cfg    Config
	client *fasthttp.HostClient

	mu  sync.Mutex
	out *csv.Writer
}

// NewWatcher returns a Watcher that writes gaps to out as CSV.
func NewWatcher(cfg Config, out io.Writer) *Watcher {
	return &Watcher{
		cfg:    cfg,
		client: &fasthttp.HostClient{Addr: cfg.Entry, MaxConns: cfg.Keys, MaxIdemponentCallAttempts: 1},
		out:    csv.NewWriter(out),
	}
}

// Run reads the keys until ctx is done or a gap can't be written.
func (w *Watcher) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for i := range w.cfg.Keys {
		g.Go(func() error { return w.watch(ctx, fmt.Sprint("k", i)) })
	}
	return g.Wait()
}

// watch reads one key at the configured interval. An error or an invalid response
// prolongs the current gap.
func (w *Watcher) watch(ctx context.Context, key string) error {
	var last time.Time
	var before string
	ticker := time.NewTicker(w.cfg.Interval)
	defer ticker.Stop()
	for {
		if after, ok := w.read(key); ok {
			now := time.Now()
			if gap := now.Sub(last); !last.IsZero() && gap >= w.cfg.MinGap {
				if err := w.write(Gap{Key: key, Start: last, Length: gap, Before: before, After: after}); err != nil {
					return err
				}
			}
			last, before = now, after
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// read requests the key once and returns the name of the target that answered.
func (w *Watcher) read(key string) (answeredBy string, ok bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(fmt.Sprintf("http://%s/%s/%s/page", w.cfg.Entry, w.cfg.Service, key))
	if err := w.client.DoTimeout(req, resp, w.cfg.Timeout); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return "", false
	}
	var a target.Response
	if err := json.Unmarshal(resp.Body(), &a); err != nil || a.Key != key {
		return "", false
	}
	return a.Target, true
}

func (w *Watcher) write(g Gap) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.out.Write(g.record()); err != nil {
		return err
	}
	w.out.Flush()
	return w.out.Error()
}

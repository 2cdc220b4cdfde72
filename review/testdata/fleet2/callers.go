package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("q%08x", lastID.Add(1)) }

var caller = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second}, Timeout: 3 * time.Second}

// call sends a request at a machine as a client does, and records it. key is -1 for a request
// without a key.
func (f *fleet) call(ctx context.Context, n *node, method, path string, key int) (status int, id string) {
	id = newID()
	body := io.Reader(http.NoBody)
	if method != http.MethodGet {
		body = strings.NewReader("payload")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.addr(callerPort)+path, body)
	if err != nil {
		panic(err) // the arguments are constants
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set(platformtest.DeadlineHeader, "1000")
	if key >= 0 {
		req.Header.Set(platformtest.KeyHeader, fmt.Sprint(key))
	}
	f.rec.add("request %s %s %s key %d is sent at %s", id, method, path, key, n.name)
	resp, err := caller.Do(req)
	if err != nil {
		f.rec.add("request %s: %v", id, err)
		return 0, id
	}
	defer func() { _ = resp.Body.Close() }() // it is read below
	text, err := io.ReadAll(resp.Body)
	f.rec.add("request %s is answered with %d by %q: %q %v", id, resp.StatusCode, resp.Header.Get(platformtest.StampHeader), text, err)
	return resp.StatusCode, id
}

// keyedLoad sends requests with keys at all machines until ctx ends.
func (f *fleet) keyedLoad(ctx context.Context, perS int, path string) *sync.WaitGroup {
	all := new(sync.WaitGroup)
	all.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perS))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			n := f.nodes[i%len(f.nodes)]
			all.Go(func() { f.call(context.WithoutCancel(ctx), n, http.MethodGet, path, rand.IntN(1<<16)) })
		}
	})
	return all
}

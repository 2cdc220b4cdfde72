package callerhttp

import "sync"

// maxIdleWorkers is the number of goroutines that are kept for further requests. Their stacks
// have grown to the depth of the handler.
const maxIdleWorkers = 64

// workers run requests on goroutines that are used again.
type workers struct {
	mu      sync.Mutex
	idle    []chan *Exchange // the one that was used last is used first
	stopped bool
}

// run serves a request on another goroutine.
func (w *workers) run(x *Exchange) {
	w.mu.Lock()
	if n := len(w.idle); n > 0 {
		next := w.idle[n-1]
		w.idle = w.idle[:n-1]
		w.mu.Unlock()
		next <- x
		return
	}
	w.mu.Unlock()
	go w.work(x)
}

func (w *workers) work(x *Exchange) {
	next := make(chan *Exchange, 1)
	for {
		x.run()
		w.mu.Lock()
		if w.stopped || len(w.idle) >= maxIdleWorkers {
			w.mu.Unlock()
			return
		}
		w.idle = append(w.idle, next)
		w.mu.Unlock()
		if x = <-next; x == nil {
			return
		}
	}
}

// stop ends the goroutines that are idle, and the others when their requests have ended.
func (w *workers) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, next := range w.idle {
		next <- nil
	}
	w.idle, w.stopped = nil, true
}

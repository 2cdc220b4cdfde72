package main

import (
	"bytes"
	"slices"
	"sync"
	"time"
)

// The limits that the site names for garble, how extra late.
const (
	garbleShare = 0.6  // of the backends
	garblePart  = 0.03 // of their answers
	garbleTime  = 5 * time.Second
	garblePause = time.Second
)

// garble is the disruption in which some backends send a part of their answers a second
// time, at the point where the next one on the connection is expected.
type garble struct {
	mu               sync.Mutex
	faulty           []*shardedBackend
	answers, spoiled int // of the faulty backends
}

// spoils reports whether an answer is sent a second time: a rejection of a faulty backend, as
// long as no more than garblePart of all answers are spoiled.
func (g *garble) spoils(b *shardedBackend, answer []byte) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.Contains(g.faulty, b) {
		return false
	}
	g.answers++
	if !bytes.HasPrefix(answer, []byte("HTTP/1.1 421")) || float64(g.spoiled+1) > garblePart*float64(g.answers) {
		return false
	}
	g.spoiled++
	return true
}

// garbleAgainAndAgain makes the newest backends faulty for garbleTime, again and again.
func (c *cluster) garbleAgainAndAgain(stopped <-chan struct{}) {
	for {
		var running []*shardedBackend
		for _, m := range slices.Backward(c.all()) {
			if !m.sharded.leaving() {
				running = append(running, m.sharded)
			}
		}
		faulty := running[:int(garbleShare*float64(len(running)))]
		c.garble.set(faulty)
		for _, b := range faulty {
			c.record.add("%s: backend %s is faulty", b.m.name, b.id)
		}
		pause(stopped, garbleTime)
		c.garble.set(nil)
		c.record.add("no backend is faulty")
		if !pause(stopped, garblePause) {
			return
		}
	}
}

func (g *garble) set(faulty []*shardedBackend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faulty = faulty
}

// pause waits for a time. It reports false if stopped is closed.
func pause(stopped <-chan struct{}, d time.Duration) bool {
	select {
	case <-stopped:
		return false
	case <-time.After(d):
		return true
	}
}

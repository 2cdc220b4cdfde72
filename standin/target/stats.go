package target

import "sync/atomic"

// Stats counts the requests and connections of a Target since its start.
type Stats struct {
	Started      uint64 `json:"started"`
	Completed    uint64 `json:"completed"`
	Canceled     uint64 `json:"canceled"`
	TimedOut     uint64 `json:"timed_out"`
	StaleToken   uint64 `json:"stale_token"`
	Shed         uint64 `json:"shed"`
	Draining     uint64 `json:"draining"`
	Cold         uint64 `json:"cold"`
	Duplicates   uint64 `json:"duplicates"` // mutating runs whose idempotency key had run before
	Dropped      uint64 `json:"dropped"`    // runs that were not recorded because of the record limit
	InFlight     int64  `json:"in_flight"`
	MaxInFlight  int64  `json:"max_in_flight"`
	Conns        int64  `json:"conns"`
	MaxConns     int64  `json:"max_conns"`
	ConnsOpened  uint64 `json:"conns_opened"`
	ConnsRefused uint64 `json:"conns_refused"`
}

// counters holds the values of Stats that are updated concurrently.
type counters struct {
	started, completed, canceled, timedOut atomic.Uint64
	staleToken, shed, draining, cold       atomic.Uint64
	inFlight, conns                        gauge
	connsOpened, connsRefused              atomic.Uint64
}

func (c *counters) countRefusal(r refusal) {
	switch r {
	case staleToken:
		c.staleToken.Add(1)
	case shedding:
		c.shed.Add(1)
	case draining:
		c.draining.Add(1)
	case cold:
		c.cold.Add(1)
	}
}

// gauge is a current value and its peak.
type gauge struct{ current, peak atomic.Int64 }

func (g *gauge) add(n int64) int64 {
	current := g.current.Add(n)
	for {
		peak := g.peak.Load()
		if current <= peak || g.peak.CompareAndSwap(peak, current) {
			return current
		}
	}
}

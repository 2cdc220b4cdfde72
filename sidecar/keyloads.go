package sidecar

import (
	"math"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ownertable"
)

// keyLoadHalfLife is the half-life of a request's weight in the load of its key. The
// set of busy keys changes within seconds.
const keyLoadHalfLife = time.Second

// maxKeyWeight is the weight of a request above which all loads are scaled down.
const maxKeyWeight = 1 << 20

// keyLoads counts the requests of each key with exponential decay. Instead of
// decaying all counts, it gives later requests a larger weight.
type keyLoads struct {
	mu    sync.Mutex
	loads [ownertable.MaxKey + 1]float32
	since clock.Time // time at which a request has the weight 1
}

func (k *keyLoads) count(key uint32, now clock.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if key > ownertable.MaxKey {
		return
	}
	if k.since == clock.Never {
		k.since = now
	}
	weight := math.Exp2(now.Sub(k.since).Seconds() / keyLoadHalfLife.Seconds())
	if weight > maxKeyWeight {
		for i := range k.loads {
			k.loads[i] /= float32(weight)
		}
		k.since, weight = now, 1
	}
	k.loads[key] += float32(weight)
}

// load returns the load of a key, comparable only with the loads of other keys.
func (k *keyLoads) load(key uint32) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return float64(k.loads[key])
}

package sidecar

import (
	"math"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ownertable"
)

// keyHalf is the half-life of requests in the load of their key. Which keys are
// busy changes within seconds.
const keyHalf = time.Second

// maxKeyScale bounds the growth of later requests' weights before all loads are
// scaled down.
const maxKeyScale = 1 << 20

// keyLoads counts the requests of each key. Instead of letting all counts decay,
// later requests weigh more.
type keyLoads struct {
	mu    sync.Mutex
	loads [ownertable.MaxKey + 1]float32
	since clock.Time // at which a request weighs 1
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
	weight := math.Exp2(now.Sub(k.since).Seconds() / keyHalf.Seconds())
	if weight > maxKeyScale {
		for i := range k.loads {
			k.loads[i] /= float32(weight)
		}
		k.since, weight = now, 1
	}
	k.loads[key] += float32(weight)
}

// load returns the load of a key relative to others.
func (k *keyLoads) load(key uint32) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return float64(k.loads[key])
}

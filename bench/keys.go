package bench

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// KeyConfig holds the parameters of the key distribution.
type KeyConfig struct {
	Count    int           // keys in use
	Exponent float64       // Zipf exponent, above 1; 0 draws keys uniformly
	Hot      int           // number of most popular ranks whose keys rotate
	Rotation time.Duration // time between changes of the hot keys; 0 keeps them
	Prefix   string        // prefix of every key
}

// keySource draws keys from a Zipf or uniform distribution. Each rotation maps
// the hot ranks to other keys. It is not safe for concurrent use.
type keySource struct {
	config KeyConfig
	zipf   *rand.Zipf
	random *rand.Rand
}

func newKeySource(config KeyConfig, random *rand.Rand) *keySource {
	s := &keySource{config: config, random: random}
	if config.Exponent > 1 {
		s.zipf = rand.NewZipf(random, config.Exponent, 1, uint64(config.Count-1))
	}
	return s
}

// draw returns the key of a request that is scheduled at time at of the run.
func (s *keySource) draw(at time.Duration) string {
	return s.config.Prefix + strconv.Itoa(s.config.keyOf(s.rank(), at))
}

func (s *keySource) rank() int {
	if s.zipf == nil {
		return s.random.IntN(s.config.Count)
	}
	return int(s.zipf.Uint64())
}

// keyOf returns the number of the key that a rank maps to at time at. Each
// rotation shifts the hot ranks by Hot keys; the other ranks keep their keys.
func (c KeyConfig) keyOf(rank int, at time.Duration) int {
	if c.Rotation <= 0 || rank >= c.Hot {
		return rank
	}
	step := int(at / c.Rotation)
	return (rank + step*c.Hot) % c.Count
}

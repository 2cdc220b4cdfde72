package celltest

import (
	"time"

	"github.com/parsleystack/parsleystack/keyspace"
)

const (
	// StopAdmitting is the time after which an instance that is leaving takes
	// no new request.
	StopAdmitting = 3 * time.Second

	// steadySamples is the number of samples in a row that count as served, so
	// that flapping leases do not.
	steadySamples = 5

	// watchedBits is the logarithm of the number of points that are watched.
	watchedBits   = 6
	watchedPoints = 1 << watchedBits
	watchedWidth  = 64 - watchedBits
)

// watched is a point whose service is watched.
type watched struct {
	served   bool     // had an owner for steadySamples once
	hasOwner bool     // at the latest sample
	streak   int      // samples in a row with an owner
	since    trueTime // end of the latest time with an owner
}

// watchedPoint returns the point with an index. Points lie inside of ranges of
// any even division.
func watchedPoint(i int) keyspace.Point {
	return keyspace.Point(uint64(i)<<watchedWidth + 0x1234567)
}

// sample checks the time-dependent invariants.
func (c *checker) sample() {
	if c.lostStream() {
		c.w.result.LostStreams++
		c.w.end = c.w.now
		return
	}
	c.mark()
	for i := range c.watched {
		c.watchPoint(i)
	}
	if c.covered() {
		c.coveredAt = c.w.now
	}
	if c.w.now > max(c.coveredAt, c.w.quiet)+c.w.params.recoveryBound() {
		c.fail(ServedAgain, "the owners have not covered the hash space since %v; %s", time.Duration(c.coveredAt), c.w.describe())
	}
}

// mark notes which watched points have an owner now.
func (c *checker) mark() {
	for i := range c.watched {
		c.watched[i].hasOwner = false
	}
	for i := range c.w.procs {
		p := &c.w.procs[i]
		if !p.alive || p.frozen(c.w.now) {
			continue
		}
		c.lapses(p)
		for k := range p.holdings {
			if h := &p.holdings[k]; h.end > c.w.now && !h.Releasing {
				c.markRange(h.Grant.Range)
			}
		}
	}
}

func (c *checker) markRange(r keyspace.Range) {
	last := int(r.Last >> watchedWidth)
	for i := int(r.First >> watchedWidth); i <= last; i++ {
		if r.Contains(watchedPoint(i)) {
			c.watched[i].hasOwner = true
		}
	}
}

// watchPoint checks for how long a point has had no owner.
func (c *checker) watchPoint(i int) {
	pt := &c.watched[i]
	if pt.hasOwner {
		pt.streak++
		if pt.streak >= steadySamples {
			pt.served = true
			pt.since = c.w.now
		}
		return
	}
	pt.streak = 0
	if c.w.now > pt.since+c.gapLimit(pt) {
		c.fail(ServedAgain, "point %x has had no owner since %v; %s", uint64(watchedPoint(i)), time.Duration(pt.since), c.w.describe())
	}
}

// gapLimit returns how long a point may be without an owner.
func (c *checker) gapLimit(pt *watched) trueTime {
	if c.strict() && pt.served {
		return toTrue(ServeAgain)
	}
	if c.strict() {
		return toTrue(FirstService)
	}
	wait := c.w.params.recoveryBound()
	if pt.since < c.w.quiet {
		wait += c.w.quiet - pt.since
	}
	return wait
}

// covered reports whether the unexpired holdings of running processes cover
// the whole hash space. They never overlap, so that their widths add up.
func (c *checker) covered() bool {
	var sum uint64
	n := 0
	for i := range c.w.procs {
		p := &c.w.procs[i]
		if !p.alive || p.frozen(c.w.now) {
			continue
		}
		for k := range p.holdings {
			h := &p.holdings[k]
			if h.end <= c.w.now || h.Releasing {
				continue
			}
			sum += uint64(h.Grant.Range.Last-h.Grant.Range.First) + 1
			n++
		}
	}
	return n > 0 && sum == 0
}

// lapses checks that no lease of a healthy owner has ended without the owner
// giving it up.
func (c *checker) lapses(p *process) {
	if !c.strict() || c.w.now < toTrue(Warmup) {
		return
	}
	for i := range p.holdings {
		h := &p.holdings[i]
		if h.end <= c.w.now && h.end > p.exempt && h.end > toTrue(Warmup) && !h.Releasing {
			c.fail(NoLapse, "the lease of %v on %v ended at %v; %s", p.node, h.Grant, time.Duration(h.end), c.w.describe())
			return
		}
	}
}

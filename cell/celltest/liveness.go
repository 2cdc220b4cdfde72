package celltest

import (
	"time"

	"github.com/parsleystack/parsleystack/keyspace"
)

const (
	// StopAdmittingBound is the time after which a leaving instance admits no
	// new requests.
	StopAdmittingBound = 3 * time.Second

	// steadySamples is the number of consecutive samples with an owner after
	// which a point counts as served, so that flapping leases do not count.
	steadySamples = 5

	// monitoredBits is the binary logarithm of the number of points whose
	// ownership is monitored.
	monitoredBits   = 6
	monitoredPoints = 1 << monitoredBits
	monitoredShift  = 64 - monitoredBits
)

// pointState is the state of a monitored point.
type pointState struct {
	served     bool     // had an owner in steadySamples consecutive samples at some time
	hasOwner   bool     // in the latest sample
	streak     int      // consecutive samples with an owner
	lastServed trueTime // latest time at which the point counted as served
}

// monitoredPoint returns the monitored point with index i. The points do not lie
// on the boundaries of evenly divided ranges.
func monitoredPoint(i int) keyspace.Point {
	return keyspace.Point(uint64(i)<<monitoredShift + 0x1234567)
}

// sample checks the invariants that depend on time.
func (c *checker) sample() {
	if c.streamUnrecoverable() {
		c.w.result.LostStreams++
		c.w.end = c.w.now
		return
	}
	c.markOwned()
	for i := range c.monitored {
		c.checkPoint(i)
	}
	if c.covered() {
		c.coveredAt = c.w.now
	}
	if c.w.now > max(c.coveredAt, c.w.faultsEnd)+c.w.params.recoveryBound() {
		c.fail(ServedAgain, "owned ranges have not covered the hash space since %v; %s", time.Duration(c.coveredAt), c.w.describe())
	}
}

// markOwned records which monitored points currently have an owner.
func (c *checker) markOwned() {
	for i := range c.monitored {
		c.monitored[i].hasOwner = false
	}
	for i := range c.w.procs {
		p := &c.w.procs[i]
		if !p.alive || p.frozen(c.w.now) {
			continue
		}
		c.checkLeaseExpiry(p)
		for k := range p.holdings {
			if h := &p.holdings[k]; h.end > c.w.now && !h.Releasing {
				c.markRangeOwned(h.Grant.Range)
			}
		}
	}
}

func (c *checker) markRangeOwned(r keyspace.Range) {
	last := int(r.Last >> monitoredShift)
	for i := int(r.First >> monitoredShift); i <= last; i++ {
		if r.Contains(monitoredPoint(i)) {
			c.monitored[i].hasOwner = true
		}
	}
}

// checkPoint checks how long a monitored point has been without an owner.
func (c *checker) checkPoint(i int) {
	pt := &c.monitored[i]
	if pt.hasOwner {
		pt.streak++
		if pt.streak >= steadySamples {
			pt.served = true
			pt.lastServed = c.w.now
		}
		return
	}
	pt.streak = 0
	if c.w.now > pt.lastServed+c.maxUnowned(pt) {
		c.fail(ServedAgain, "point %x has had no owner since %v; %s", uint64(monitoredPoint(i)), time.Duration(pt.lastServed), c.w.describe())
	}
}

// maxUnowned returns the longest time that a point may be without an owner.
func (c *checker) maxUnowned(pt *pointState) trueTime {
	if c.strict() && pt.served {
		return toTrue(FailoverBound)
	}
	if c.strict() {
		return toTrue(InitialServiceBound)
	}
	wait := c.w.params.recoveryBound()
	if pt.lastServed < c.w.faultsEnd {
		wait += c.w.faultsEnd - pt.lastServed
	}
	return wait
}

// covered reports whether the unexpired holdings of running processes cover the
// hash space. They do not overlap, so they cover it if their widths add up
// to 2^64, which is 0 in uint64.
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

// checkLeaseExpiry checks that no lease of a healthy owner has expired without being
// released.
func (c *checker) checkLeaseExpiry(p *process) {
	if !c.strict() || c.w.now < toTrue(Warmup) {
		return
	}
	for i := range p.holdings {
		h := &p.holdings[i]
		if h.end <= c.w.now && h.end > p.exemptUntil && h.end > toTrue(Warmup) && !h.Releasing {
			c.fail(NoLapse, "the lease of %v on %v expired at %v; %s", p.node, h.Grant, time.Duration(h.end), c.w.describe())
			return
		}
	}
}

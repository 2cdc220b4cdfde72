package celltest

import "time"

// StopAdmitting is the time after which an instance that is leaving takes no
// new request.
const StopAdmitting = 3 * time.Second

// steadySamples is the number of samples in a row that count as served, so that
// flapping leases do not.
const steadySamples = 5

// sample checks the time-dependent invariants.
func (c *checker) sample() {
	for i := range c.w.procs {
		if p := &c.w.procs[i]; p.alive && !p.frozen(c.w.now) {
			c.lapses(p)
		}
	}
	if c.covered() {
		c.streak++
		if c.streak >= steadySamples {
			c.served = true
			c.gapSince = c.w.now
		}
		return
	}
	c.streak = 0
	if c.w.now > c.gapSince+c.gapLimit() {
		c.fail(ServedAgain, "some point has had no owner since %v; %s", time.Duration(c.gapSince), c.w.describe())
	}
}

// gapLimit returns how long some point may be without an owner.
func (c *checker) gapLimit() trueTime {
	if c.strict() && c.served {
		return toTrue(ServeAgain)
	}
	if c.strict() {
		return toTrue(FirstService)
	}
	wait := toTrue(recoveryBound)
	if c.gapSince < c.w.quiet {
		wait += c.w.quiet - c.gapSince
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

package fleet

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// FailureDetector decides which daemons are suspected to have failed at one
// moment. In a large fleet, statuses between services are sent rarely, so a
// daemon of another service is also suspected when most daemons of its own
// service report it.
type FailureDetector struct {
	now          clock.Time
	service      string                // service of this daemon
	serviceSizes map[string]int        // peers per service; this daemon is not counted
	reports      map[string]int        // per daemon, number of peers that report it as suspected
	lastReport   map[string]clock.Time // per daemon, time of the newest status with such a report
}

// NewFailureDetector returns the failure detector of a daemon of the service own, as of
// now.
func (d *Directory) NewFailureDetector(own ident.Service, now clock.Time) *FailureDetector {
	f := &FailureDetector{
		now: now, service: string(own), serviceSizes: make(map[string]int), reports: make(map[string]int), lastReport: make(map[string]clock.Time),
	}
	for _, p := range d.peers {
		f.serviceSizes[p.Member.Service]++
	}
	for _, p := range d.peers {
		if f.noRecentStatus(p) {
			continue
		}
		for _, name := range p.Suspects {
			if q := d.peers[ident.Instance(name)]; q != nil && q.Member.Service == p.Member.Service {
				f.reports[name]++
				f.lastReport[name] = max(f.lastReport[name], p.LastSeen)
			}
		}
	}
	return f
}

// Suspected reports whether a daemon is suspected to have failed.
func (f *FailureDetector) Suspected(p *Peer) bool {
	return f.noRecentStatus(p) || f.suspectedByService(p)
}

// noRecentStatus reports whether this daemon has received no status from p
// within the suspect timeout.
func (f *FailureDetector) noRecentStatus(p *Peer) bool {
	limit := suspectTimeoutFor(p.StatusInterval)
	if !p.Responded {
		limit = InitialSuspectTimeout
	}
	return f.now.Sub(p.LastSeen) > limit
}

// suspectedByService reports whether more than half of the other daemons of
// p's service report it as suspected. Reports older than the newest status of
// p do not count.
func (f *FailureDetector) suspectedByService(p *Peer) bool {
	name := p.Member.Instance
	if p.Member.Service == f.service || f.now.Sub(p.LastSeen) <= SuspectTimeout || f.lastReport[name] <= p.LastSeen {
		return false
	}
	others := f.serviceSizes[p.Member.Service] - 1
	return f.reports[name]*2 > others
}

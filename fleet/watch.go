package fleet

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// Watch says which daemons are silent at one moment. Statuses between services
// are seldom in a large fleet, so that a daemon of another service also counts
// as silent when most of its own service say so.
type Watch struct {
	now    clock.Time
	own    string         // service of the watching daemon
	sizes  map[string]int // daemons of each service but the watching one
	quiet  map[string]int // how many daemons say of a daemon that it is silent
	newest map[string]clock.Time
}

// NewWatch returns the watch of a daemon of the service own.
func (d *Directory) NewWatch(own ident.Service, now clock.Time) *Watch {
	w := &Watch{
		now: now, own: string(own), sizes: make(map[string]int), quiet: make(map[string]int), newest: make(map[string]clock.Time),
	}
	for _, p := range d.peers {
		w.sizes[p.Member.Service]++
	}
	for _, p := range d.peers {
		if w.unheard(p) {
			continue
		}
		for _, name := range p.Quiet {
			if q := d.peers[ident.Instance(name)]; q != nil && q.Member.Service == p.Member.Service {
				w.quiet[name]++
				w.newest[name] = max(w.newest[name], p.Heard)
			}
		}
	}
	return w
}

// Silent reports whether a daemon has not been heard for too long.
func (w *Watch) Silent(p *Peer) bool { return w.unheard(p) || w.reported(p) }

// unheard reports whether the watching daemon itself misses statuses.
func (w *Watch) unheard(p *Peer) bool {
	limit := silentAfter(p.Every)
	if !p.Answered {
		limit = SilentAtFirst
	}
	return w.now.Sub(p.Heard) > limit
}

// reported reports whether most others of its service have told of a daemon's
// silence since it was last heard here.
func (w *Watch) reported(p *Peer) bool {
	name := p.Member.Instance
	if p.Member.Service == w.own || w.now.Sub(p.Heard) <= SilentAfter || w.newest[name] <= p.Heard {
		return false
	}
	others := w.sizes[p.Member.Service] - 1
	return w.quiet[name]*2 > others
}

package driver

import (
	"context"

	"github.com/parsleystack/parsleystack/cell"
)

// releaseSet holds the releases in progress. A release that the core takes
// back and orders again has a new number, so that the end of work under the
// earlier order is not taken for the end of work under the later one.
type releaseSet struct {
	last    uint64
	current map[cell.Grant]uint64
}

// quiesced reports that no request was in flight after a release.
type quiesced struct {
	grant  cell.Grant
	number uint64
}

func newReleaseSet() releaseSet { return releaseSet{current: make(map[cell.Grant]uint64)} }

// begin notes a release and returns its number.
func (s *releaseSet) begin(g cell.Grant) uint64 {
	s.last++
	s.current[g] = s.last
	return s.last
}

// keep drops the releases that the holdings no longer show.
func (s *releaseSet) keep(holdings []cell.Holding) {
	releasing := make(map[cell.Grant]bool, len(holdings))
	for _, h := range holdings {
		if h.Releasing {
			releasing[h.Grant] = true
		}
	}
	for g := range s.current {
		if !releasing[g] {
			delete(s.current, g)
		}
	}
}

// end reports whether q ends the release in progress of its grant.
func (s *releaseSet) end(q quiesced) bool {
	number, ok := s.current[q.grant]
	if !ok || number != q.number {
		return false
	}
	delete(s.current, q.grant)
	return true
}

func (d *Driver) release(ctx context.Context, h cell.Holding) {
	q := quiesced{grant: h.Grant, number: d.releases.begin(h.Grant)}
	d.cfg.LeaseTable.Quiesce(h.Grant.Range, func() {
		go func() {
			select {
			case d.quiesced <- q:
			case <-ctx.Done():
			}
		}()
	})
}

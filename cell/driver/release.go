package driver

import (
	"context"

	"github.com/parsleystack/parsleystack/cell"
)

// releaseSet holds the releases in progress. A release that package cell cancels
// and requests again gets a new number, so that a late completion of the first
// release is not mistaken for the completion of the second.
type releaseSet struct {
	last    uint64
	current map[cell.Grant]uint64
}

// quiesced reports that no request is in flight under a grant that is being
// released.
type quiesced struct {
	grant  cell.Grant
	number uint64
}

func newReleaseSet() releaseSet { return releaseSet{current: make(map[cell.Grant]uint64)} }

// begin adds a release and returns its number.
func (s *releaseSet) begin(g cell.Grant) uint64 {
	s.last++
	s.current[g] = s.last
	return s.last
}

// retain removes the releases whose grants are no longer marked as releasing in
// holdings.
func (s *releaseSet) retain(holdings []cell.Holding) {
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

// complete removes the release that q completes. It returns false if q belongs
// to an earlier release.
func (s *releaseSet) complete(q quiesced) bool {
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

package sidecar

import (
	"github.com/parsleystack/parsleystack/placement"
)

// choose returns the target for the next attempt, or nil. coming reports whether
// the key's owner is about to serve it.
func (f *flight) choose() (t *targetView, coming bool) {
	v := f.in.d.control.view.Load()
	s := v.services[f.service.Name]
	switch {
	case s == nil:
		return nil, false
	case f.service.Keyed:
		return f.chooseOwner(s)
	}
	return f.choosePlace(s), false
}

// chooseOwner returns the target that owns the key, if its daemon answers.
func (f *flight) chooseOwner(s *serviceView) (t *targetView, coming bool) {
	if s.owners == nil {
		return nil, false
	}
	row := s.owners.Find(f.envelope.Key)
	f.owner = row.Owner.Instance
	t = s.owner(f.envelope.Key)
	if t == nil || t.silent {
		return nil, t == nil && !row.Free()
	}
	return t, true
}

// choosePlace returns the best target that was not tried.
func (f *flight) choosePlace(s *serviceView) *targetView {
	var candidates [64]placement.Candidate
	n := min(len(s.targets), len(candidates))
	for i, t := range s.targets[:n] {
		candidates[i] = placement.Candidate{
			InFlight: int(t.load.inFlight.Load()), Limit: int(t.load.limit.Load()),
			Pace: float64(t.load.pace.Load()) / thousand, Failing: float64(t.load.failing.Load()) / thousand,
			SameZone: t.zone == f.in.d.settings().Zone, SameHost: t.local, Unwatched: t.silent,
			Excluded: !t.ready || f.hasTried(t),
		}
	}
	if i := placement.Choose(candidates[:n], random); i >= 0 {
		return s.targets[i]
	}
	return nil
}

func (f *flight) hasTried(t *targetView) bool {
	for _, x := range f.tried {
		if x.instance == t.instance && x.target == t.target {
			return true
		}
	}
	return false
}

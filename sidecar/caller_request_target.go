package sidecar

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/placement"
	"github.com/parsleystack/parsleystack/quarantine"
)

// chooseTarget returns the target for the next attempt, or nil. pending reports
// whether the key has an owner that is expected to serve it soon.
func (f *callerRequest) chooseTarget() (t *targetView, pending bool) {
	v := f.ingress.d.control.view.Load()
	s := v.services[f.service.Name]
	switch {
	case s == nil:
		return nil, false
	case f.service.Keyed:
		return f.chooseOwnerTarget(s)
	}
	if f.evidence.Verdict() != quarantine.Unsuspected {
		return f.chooseTargetForSuspect(s), false
	}
	return f.chooseAnyTarget(s), false
}

// chooseOwnerTarget returns the target that owns the key, unless its daemon is
// suspected or the target is unreachable.
func (f *callerRequest) chooseOwnerTarget(s *serviceView) (t *targetView, pending bool) {
	if s.table == nil {
		return nil, false
	}
	shard := s.table.Find(f.headers.Key)
	f.owner = shard.Owner.Instance
	t = s.owner(f.headers.Key)
	evacuated := t != nil && t.evacuatedFromKeys(clock.Now())
	if t == nil || t.suspected || t.unreachable || evacuated {
		return nil, (t == nil || evacuated) && !shard.Unassigned()
	}
	return t, true
}

// stackCandidates is the number of candidates for which no memory is allocated.
const stackCandidates = 80

// chooseAnyTarget returns the best target that was not tried yet. It is for services
// that are not divided by key.
func (f *callerRequest) chooseAnyTarget(s *serviceView) *targetView {
	var buffer [stackCandidates]placement.Candidate
	candidates := buffer[:0]
	for _, t := range s.targets {
		if t.local {
			inFlight, slots := f.ingress.d.backend.localLoad()
			t.load.inFlight.Store(int64(inFlight))
			t.load.limit.Store(int64(slots))
		}
		candidates = append(candidates, placement.Candidate{
			InFlight: int(t.load.inFlight.Load()), Limit: int(t.load.limit.Load()),
			LatencyRatio: float64(t.load.latencyRatio.Load()) / ratioScale, FailureRatio: float64(t.load.failureRatio.Load()) / ratioScale,
			SameZone: t.zone == f.ingress.d.settings().Zone, SameInstance: t.local, Suspected: t.suspected,
			Excluded: !t.ready || f.hasTried(t) || t.load.statesLeaving(t.target) || f.spareOnly && !t.spare(),
		})
	}
	if i := placement.Choose(candidates, placement.Request{LargeResponse: f.route.LargeResponses}, random); i >= 0 {
		return s.targets[i]
	}
	return nil
}

// chooseTargetForSuspect returns the target, among those that were not tried yet, at which
// requests of this content run while they are suspected, whichever entry they arrive at.
func (f *callerRequest) chooseTargetForSuspect(s *serviceView) *targetView {
	var eligible []*targetView
	var names []string
	for _, t := range s.targets {
		if t.ready && !t.suspected && !f.hasTried(t) && !t.load.statesLeaving(t.target) {
			eligible, names = append(eligible, t), append(names, string(t.instance))
		}
	}
	if i := f.print.Prefer(names); i >= 0 {
		return eligible[i]
	}
	return nil
}

func (f *callerRequest) hasTried(t *targetView) bool {
	for _, x := range f.tried {
		if x.instance == t.instance && x.target == t.target {
			return true
		}
	}
	return false
}

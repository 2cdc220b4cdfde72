package cell

import "fmt"

// checkSingleHolder records the first case in which two processes hold the same
// point. requireSingleHolder reports it.
func (s *sim) checkSingleHolder() {
	for i, p := range s.procs {
		for _, q := range s.procs[i+1:] {
			for _, h := range p.held {
				for _, k := range q.held {
					if h.Expires > p.local(s.now) && k.Expires > q.local(s.now) && h.Grant.Range.Overlaps(k.Grant.Range) && s.conflict == "" {
						s.conflict = fmt.Sprintf("%v: %v holds %v and %v holds %v", s.stamp(), p.id, h.Grant, q.id, k.Grant)
					}
				}
			}
		}
	}
}

// expirations returns how often grants of running processes expired.
func (s *sim) expirations() int {
	count := 0
	for _, p := range s.procs {
		if p.alive {
			count += p.expirations
		}
	}
	return count
}

// requireSingleHolder fails the test if two processes have held the same point.
func (s *sim) requireSingleHolder() {
	s.t.Helper()
	if s.conflict != "" {
		s.t.Fatalf("two holders: %s\n%s", s.conflict, s.traceTail())
	}
}

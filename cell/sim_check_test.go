package cell

import "fmt"

// check fails the test if two processes hold a point.
func (s *sim) check() {
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

// lapses returns how often grants of living processes ran out.
func (s *sim) lapses() int {
	count := 0
	for _, p := range s.procs {
		if p.alive {
			count += p.lapses
		}
	}
	return count
}

func (s *sim) exclusive() {
	s.t.Helper()
	if s.conflict != "" {
		s.t.Fatalf("two holders: %s\n%s", s.conflict, s.tail())
	}
}

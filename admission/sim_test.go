package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const simDeadline = 500 * time.Millisecond

// sim is a target in virtual time behind a Queue.
type sim struct {
	queue *Queue
	took  func(running int) time.Duration
	shed  func(id uint64) bool // nil if the target sheds nothing
	now   clock.Time
	next  uint64
	flows map[uint64]Flow
	ends  map[uint64]simEnd
	done  map[Flow]int
}

type simEnd struct {
	at   clock.Time
	took time.Duration
}

func newSim(cfg Config, took func(running int) time.Duration) *sim {
	return &sim{queue: New(cfg), took: took, now: 1, flows: make(map[uint64]Flow), ends: make(map[uint64]simEnd), done: make(map[Flow]int)}
}

// run offers requests of one flow at a rate per millisecond.
func (s *sim) run(d time.Duration, rate int) {
	for end := s.now.Add(d); s.now < end; {
		s.advance(time.Millisecond)
		for range rate {
			s.offer(1)
		}
	}
}

func (s *sim) offer(f Flow) {
	s.next++
	s.flows[s.next] = f
	s.step(Event{Kind: Arrive, Item: Item{ID: s.next, Flow: f, Deadline: s.now.Add(simDeadline)}})
}

func (s *sim) step(ev Event) {
	started := append([]uint64(nil), s.queue.Step(ev, s.now).Start...)
	for _, id := range started {
		took := s.took(len(s.ends) + 1)
		s.ends[id] = simEnd{at: s.now.Add(took), took: took}
	}
}

// advance lets time pass and ends the requests that are due.
func (s *sim) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, id := range slices.Sorted(maps.Keys(s.ends)) {
		e := s.ends[id]
		if s.now < e.at {
			continue
		}
		delete(s.ends, id)
		ending := Answered
		if s.shed != nil && s.shed(id) {
			ending = Shed
		} else {
			s.done[s.flows[id]]++
		}
		s.step(Event{Kind: Finish, Item: Item{ID: id}, Completion: ending, Duration: e.took})
	}
}

package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const simDeadline = 500 * time.Millisecond

// sim simulates, in virtual time, a Queue in front of a target.
type sim struct {
	queue       *Queue
	serviceTime func(running int) time.Duration
	shed        func(id uint64) bool // nil if the target sheds no request
	now         clock.Time
	lastID      uint64
	flows       map[uint64]Flow
	running     map[uint64]simRequest
	done        map[Flow]int
}

type simRequest struct {
	endsAt   clock.Time
	duration time.Duration
}

func newSim(cfg Config, serviceTime func(running int) time.Duration) *sim {
	return &sim{queue: New(cfg), serviceTime: serviceTime, now: 1, flows: make(map[uint64]Flow), running: make(map[uint64]simRequest), done: make(map[Flow]int)}
}

// run sends requests of flow 1 for the duration d, rate of them per
// millisecond.
func (s *sim) run(d time.Duration, rate int) {
	for end := s.now.Add(d); s.now < end; {
		s.advance(time.Millisecond)
		for range rate {
			s.offer(1)
		}
	}
}

func (s *sim) offer(f Flow) {
	s.lastID++
	s.flows[s.lastID] = f
	s.step(Event{Kind: Arrive, Item: Item{ID: s.lastID, Flow: f, Deadline: s.now.Add(simDeadline)}})
}

func (s *sim) step(ev Event) {
	started := append([]uint64(nil), s.queue.Step(ev, s.now).Start...)
	for _, id := range started {
		d := s.serviceTime(len(s.running) + 1)
		s.running[id] = simRequest{endsAt: s.now.Add(d), duration: d}
	}
}

// advance moves the virtual time forward by d and completes the requests that
// are due.
func (s *sim) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, id := range slices.Sorted(maps.Keys(s.running)) {
		r := s.running[id]
		if s.now < r.endsAt {
			continue
		}
		delete(s.running, id)
		completion := Answered
		if s.shed != nil && s.shed(id) {
			completion = Shed
		} else {
			s.done[s.flows[id]]++
		}
		s.step(Event{Kind: Finish, Item: Item{ID: id}, Completion: completion, Duration: r.duration})
	}
}

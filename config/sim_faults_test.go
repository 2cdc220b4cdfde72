package config

import (
	"fmt"

	"github.com/parsleystack/parsleystack/platformlog"
)

// publish lets an operator publish on the base that some daemon shows, which
// may be old, and now and then retire a service.
func (s *sim) publish() {
	svc := simServices[s.rng.IntN(len(simServices))]
	var base platformlog.Offset
	if d := s.daemons[s.rng.IntN(len(s.daemons))]; d.shown != nil && d.shown.Entry(svc) != nil {
		base = d.shown.Entry(svc).Version
	}
	s.nonce++
	c, err := NewPublish(testSpec(string(svc), int(s.nonce)), base, fmt.Sprint("operator", s.rng.IntN(3)), s.nonce)
	if err != nil {
		panic(err)
	}
	if s.rng.IntN(8) == 0 {
		c = NewRetire(svc, base, "operator", s.nonce)
	}
	payload, err := c.Encode()
	if err != nil {
		panic(err)
	}
	_ = s.append(payload)
}

// disturb does one random thing.
func (s *sim) disturb() {
	d := s.daemons[s.rng.IntN(len(s.daemons))]
	switch n := s.rng.IntN(100); {
	case n < 15:
		s.publish()
	case n < 25 && len(s.late) > 0:
		i := s.rng.IntN(len(s.late))
		s.land(s.late[i])
		s.late = append(s.late[:i], s.late[i+1:]...)
	case n < 27:
		s.down = !s.down && s.rng.IntN(2) == 0
	case n < 30:
		d.cutOff = !d.cutOff && s.rng.IntN(3) == 0
	case n < 32:
		s.restart(d)
	case n < 60:
		s.gossip(d)
	case n < 61 && s.rng.IntN(30) == 0:
		s.longOutage()
	}
}

// longOutage lets all records expire while the log is down, and restarts all
// daemons but one.
func (s *sim) longOutage() {
	s.down = true
	keep := s.rng.IntN(len(s.daemons))
	for range 12 {
		s.advance(simRetention / 10)
	}
	for i, d := range s.daemons {
		if i != keep {
			s.restart(d)
		}
	}
	s.down = false
}

func (s *sim) gossip(d *simDaemon) {
	from := s.daemons[s.rng.IntN(len(s.daemons))]
	if from != d && from.shown != nil {
		s.step(d, PeerOffset{Peer: from.node, Offset: from.shown.Offset})
	}
}

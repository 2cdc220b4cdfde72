package config

import (
	"fmt"

	"github.com/parsleystack/parsleystack/platformlog"
)

// publish appends a change of an operator, based on the version that a random
// daemon has in force, which may be outdated. One change in eight retires the
// service.
func (s *sim) publish() {
	svc := simServices[s.rng.IntN(len(simServices))]
	var expectedVersion platformlog.Offset
	if d := s.daemons[s.rng.IntN(len(s.daemons))]; d.inForce != nil && d.inForce.Entry(svc) != nil {
		expectedVersion = d.inForce.Entry(svc).Version
	}
	s.nonce++
	c, err := NewPublish(testSpec(string(svc), int(s.nonce)), expectedVersion, fmt.Sprint("operator", s.rng.IntN(3)), s.nonce)
	if err != nil {
		panic(err)
	}
	if s.rng.IntN(8) == 0 {
		c = NewRetire(svc, expectedVersion, "operator", s.nonce)
	}
	payload, err := c.Encode()
	if err != nil {
		panic(err)
	}
	_ = s.append(payload)
}

// injectFault performs one random action: a change, a fault, or the end of one.
func (s *sim) injectFault() {
	d := s.daemons[s.rng.IntN(len(s.daemons))]
	switch n := s.rng.IntN(100); {
	case n < 15:
		s.publish()
	case n < 25 && len(s.delayed) > 0:
		i := s.rng.IntN(len(s.delayed))
		s.appendRecord(s.delayed[i])
		s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
	case n < 27:
		s.logDown = !s.logDown && s.rng.IntN(2) == 0
	case n < 30:
		d.logUnreachable = !d.logUnreachable && s.rng.IntN(3) == 0
	case n < 32:
		s.restart(d)
	case n < 60:
		s.sendPeerOffset(d)
	case n < 61 && s.rng.IntN(30) == 0:
		s.longOutage()
	}
}

// longOutage keeps the log unavailable until all records have expired, and
// restarts all daemons but one.
func (s *sim) longOutage() {
	s.logDown = true
	survivor := s.rng.IntN(len(s.daemons))
	for range 12 {
		s.advance(simRetention / 10)
	}
	for i, d := range s.daemons {
		if i != survivor {
			s.restart(d)
		}
	}
	s.logDown = false
}

func (s *sim) sendPeerOffset(d *simDaemon) {
	from := s.daemons[s.rng.IntN(len(s.daemons))]
	if from != d && from.inForce != nil {
		s.step(d, PeerOffset{Peer: from.node, Offset: from.inForce.Offset})
	}
}

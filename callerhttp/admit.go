package callerhttp

import (
	"net"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/connprobe"
	"github.com/parsleystack/parsleystack/recvlimit"
)

// rejectTimeout bounds the write of the response to a connection that is not served.
const rejectTimeout = 100 * time.Millisecond

// leavingShare is the share of Config.MaxConns, as a divisor, that is left to connections which
// are being closed for others and have not ended.
const leavingShare = 16

// leavingWait is how long a new connection waits for one to end that was closed for another.
const leavingWait = 100 * time.Millisecond

// add registers a connection, or refuses it and returns nil.
func (s *Server) add(nc net.Conn) *conn {
	memory := s.config.Memory.Open(recvlimit.Caller, nil)
	c := newConn(s, nc)
	c.memory = memory
	if memory.Grow(connCost) == nil && s.register(c) {
		return c
	}
	memory.Release()
	s.mu.Lock()
	s.stats.Refused++
	s.mu.Unlock()
	reject(nc, s.config.RejectFields)
	return nil
}

// register adds a connection to those that are served. If nearly all that may be open are,
// another one is closed for it; see selectVictims. It reports false if there is no room.
func (s *Server) register(c *conn) bool {
	s.displaceOne()
	var timeout <-chan time.Time
	for {
		added, leaving := s.tryRegister(c)
		if added || !leaving {
			return added
		}
		if timeout == nil {
			timer := time.NewTimer(leavingWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-s.left:
		case <-timeout:
			return false
		}
	}
}

// tryRegister adds a connection if there is room. If there is none, it reports whether others
// are about to end.
func (s *Server) tryRegister(c *conn) (added, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := s.maxConns; s.shutDown || limit > 0 && len(s.conns) >= limit {
		return false, !s.shutDown && s.leaving > 0
	}
	s.conns[c] = struct{}{}
	return true, false
}

// displaceOne closes a connection if there is little room for a new one.
func (s *Server) displaceOne() {
	s.mu.Lock()
	var closed *conn
	if limit := s.maxConns; limit > 0 && len(s.conns)-s.leaving >= limit-max(limit/leavingShare, 1) {
		closed = s.takeVictim(clock.Fast())
	}
	s.mu.Unlock()
	if closed != nil {
		closed.evict()
	}
}

// takeVictim returns a connection that is to be closed for another one, or nil if there is none.
// The caller holds the lock.
func (s *Server) takeVictim(now clock.Time) *conn {
	if c := s.nextVictim(now); c != nil || now.Before(s.scanAfter) {
		return c
	}
	s.victims, s.victimsLeft = selectVictims(s.conns, now), len(s.conns)/victimShare+1
	c := s.nextVictim(now)
	if c == nil {
		s.scanAfter = now.Add(scanPause)
	}
	return c
}

// nextVictim returns the next of the connections that were selected, without those that can't
// be closed any more. The caller holds the lock.
func (s *Server) nextVictim(now clock.Time) *conn {
	for n := len(s.victims); n > 0 && s.victimsLeft > 0; n = len(s.victims) {
		v := s.victims[n-1]
		s.victims[n-1] = victim{}
		s.victims = s.victims[:n-1]
		if s.displace(&v, now) {
			s.victimsLeft--
			return v.conn
		}
	}
	s.victims = nil
	return nil
}

// displace marks a connection as being closed. It reports false if it has ended or made
// progress since it was selected, or is about to. The caller holds the lock.
func (s *Server) displace(v *victim, now clock.Time) bool {
	c := v.conn
	if _, open := s.conns[c]; !open {
		return false
	}
	a, _ := unpack(v.word)
	switch {
	case a == busy && !isStalled(clock.Time(c.writing.Load()), now):
		return false
	case a >= fresh && a <= inBody && connprobe.Unread(c.nc): // it is about to make progress
		return false
	case !c.state.close(v.word):
		return false
	}
	s.leaving++
	s.stats.Closed[a]++
	return true
}

// MaxConns returns the number of connections that are open at most, 0 if there is no limit.
func (s *Server) MaxConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxConns
}

// SetMaxConns replaces Config.MaxConns. Connections beyond a lower number are closed in the
// order of selectVictims; those with requests in progress stay.
func (s *Server) SetMaxConns(n int) {
	s.mu.Lock()
	s.maxConns = n
	var closed []*conn
	for n > 0 && len(s.conns)-s.leaving > n {
		c := s.takeVictim(clock.Fast())
		if c == nil {
			break
		}
		closed = append(closed, c)
	}
	s.mu.Unlock()
	for _, c := range closed {
		c.evict()
	}
}

// reject answers a connection that is not served. fields are added to the head of the response.
func reject(nc net.Conn, fields string) {
	response := "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n" + fields + "Content-Length: 0\r\n\r\n"
	_ = nc.SetWriteDeadline(time.Now().Add(rejectTimeout)) // the write fails then, too
	_, _ = nc.Write([]byte(response))                      // the connection is closed all the same
	_ = nc.Close()
}

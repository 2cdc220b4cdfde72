package transport

import (
	"net"

	"golang.org/x/sys/unix"
)

// SegmentOverhead is the size in bytes of the IPv4 and TCP headers of a segment
// with the TCP timestamp option.
const SegmentOverhead = 52

// Segments counts the TCP segments of connections, including those without data.
type Segments struct {
	In  uint64
	Out uint64
}

// Add returns the sum of s and o.
func (s Segments) Add(o Segments) Segments { return Segments{In: s.In + o.In, Out: s.Out + o.Out} }

// Segments returns the kernel's segment counts of the pool's open connections of
// a class.
func (p *Pool) Segments(class Class) Segments {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum Segments
	for c := range p.conns {
		if c.class == class {
			sum = sum.Add(segmentsOf(c.conn))
		}
	}
	return sum
}

// Segments returns the kernel's segment counts of the server's open connections
// of a class.
func (s *Server) Segments(class Class) Segments {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum Segments
	for c := range s.conns {
		if c.class == class {
			sum = sum.Add(segmentsOf(c.conn))
		}
	}
	return sum
}

// segmentsOf returns the kernel's segment counts of a connection, and zero if it
// is not a TCP connection.
func segmentsOf(conn net.Conn) Segments {
	var sum Segments
	withSocket(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			sum = Segments{In: uint64(info.Segs_in), Out: uint64(info.Segs_out)}
		}
	})
	return sum
}

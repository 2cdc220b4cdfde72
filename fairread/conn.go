// Package fairread keeps connections on which there is always more to be read from
// occupying the processor.
package fairread

import (
	"net"
	"runtime"
)

// Conn is a connection that yields the processor before a read if the one before has filled
// its buffer. The runtime lets a goroutine that never waits run for 10 ms at a time; with many
// of them on one core, the requests of others would wait for seconds.
type Conn struct {
	net.Conn
	full bool // the last read has filled its buffer
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if c.full {
		runtime.Gosched()
	}
	n, err := c.Conn.Read(b)
	c.full = n == len(b)
	return n, err
}

package transport

import "time"

// closeIdleLoop closes request and bulk connections on which no request was sent
// for a whole IdleTimeout. It returns when the pool is closed.
func (p *Pool) closeIdleLoop() {
	ticker := time.NewTicker(p.cfg.IdleTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, c := range p.sweepIdleConns() {
			c.drain()
		}
	}
}

// sweepIdleConns returns the request and bulk connections that were not used
// since the last call, and clears the mark of the others.
func (p *Pool) sweepIdleConns() []*clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var idle []*clientConn
	for c := range p.conns {
		if c.class != ClassControl && !c.usedSinceSweep.Swap(false) {
			idle = append(idle, c)
		}
	}
	return idle
}

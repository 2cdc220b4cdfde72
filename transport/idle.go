package transport

import "time"

// closeIdle closes connections that no request was sent on for a whole idle
// timeout, until the pool is closed.
func (p *Pool) closeIdle() {
	ticker := time.NewTicker(p.cfg.IdleTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, c := range p.idleConns() {
			c.leave()
		}
	}
}

// idleConns returns the connections that were not used since the last call.
func (p *Pool) idleConns() []*clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var idle []*clientConn
	for c := range p.conns {
		if c.class != ClassControl && !c.used.Swap(false) {
			idle = append(idle, c)
		}
	}
	return idle
}

package transport

// Renew replaces the connections to the daemon at addr: new messages and requests are
// sent on new connections, and the present ones are closed once their pending requests
// have ended. It is for a peer that seems not to receive what is sent, or to send
// nothing, since an open connection can stop delivering data without a reset.
func (p *Pool) Renew(addr string) {
	for class := range Class(classCount) {
		v, ok := p.peers.Load(peerKey{addr: addr, class: class})
		if !ok {
			continue
		}
		x := v.(*peer)
		x.mu.Lock()
		conn := x.conn
		x.mu.Unlock()
		if conn != nil && conn.usable() {
			p.counters.SilentConns.Add(1)
			conn.drain()
		}
	}
}

package sidecar

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/quarantine"
)

const (
	// crashPushTimeout bounds the exchange of evidence with one daemon.
	crashPushTimeout = 500 * time.Millisecond
	// crashPushAttempts is the number of attempts to reach one daemon. One that is not
	// reached gets the evidence from the directory.
	crashPushAttempts = 3
	// maxIntroducers is the number of daemons that send the evidence to one that has joined,
	// which reads it from the directory unless the store is away.
	maxIntroducers = 3
)

// servicePeers returns the addresses of the other daemons of the own service.
func (c *control) servicePeers() []string {
	var addrs []string
	for _, p := range c.dir.Peers() {
		if c.sameService(p) && !c.suspected[ident.Instance(p.Member.Instance)] {
			addrs = append(addrs, p.Member.Addr)
		}
	}
	return addrs
}

// pushEvidence sends the evidence about the own service to daemons. known is closed once all
// have it or can't be reached; it may be nil.
func (c *control) pushEvidence(addrs []string, known chan<- struct{}) {
	body := c.ownLedger().Record().Encode()
	var all sync.WaitGroup
	for _, addr := range addrs {
		all.Go(func() { c.d.pushEvidence(addr, body) })
	}
	if known != nil {
		go func() { all.Wait(); close(known) }()
	}
}

// pushEvidence sends encoded evidence to one daemon.
func (d *Daemon) pushEvidence(addr string, body []byte) {
	for attempt := 1; attempt <= crashPushAttempts; attempt++ {
		ctx, cancel := context.WithTimeout(context.Background(), crashPushTimeout)
		_, err := d.peerLinks.Call(ctx, addr, callEvidence, body)
		cancel()
		if err == nil {
			return
		}
		logevent.Log(d.log, logevent.UpdateNotForwarded, zap.String("to", addr), zap.String("what", "crashes"), zap.Error(err))
		time.Sleep(backoff(attempt))
	}
}

// serveEvidence applies evidence about the own service that another daemon sends.
func (d *Daemon) serveEvidence(ctx context.Context, body []byte) error {
	r, err := quarantine.Decode(body)
	if err != nil {
		return err
	}
	d.control.doAndWait(ctx, func() { d.control.mergeEvidence(ident.Service(d.control.self.Service), r) })
	return nil
}

// introduceEvidence sends the evidence to a daemon of the own service that has joined.
func (c *control) introduceEvidence(p *fleet.Peer) {
	if c.sameService(p) && c.rank() < maxIntroducers && !c.ownLedger().Empty() {
		c.pushEvidence([]string{p.Member.Addr}, nil)
	}
}

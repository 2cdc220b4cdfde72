package sidecar

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/quarantine"
)

// crashState is the evidence about requests that crash targets.
type crashState struct {
	ledgers    map[ident.Service]*quarantine.Ledger
	stored     map[ident.Service]*quarantine.Ledger // the newest records
	lackingFor clock.Time                           // since when the record of the own service lacks evidence; Never if it does not
	inFlight   bool                                 // the append of a record has not returned
	nextWrite  clock.Time
	nextExpiry clock.Time
}

func newCrashState() crashState {
	return crashState{ledgers: make(map[ident.Service]*quarantine.Ledger), stored: make(map[ident.Service]*quarantine.Ledger)}
}

func (s *crashState) ledger(service ident.Service) *quarantine.Ledger {
	l := s.ledgers[service]
	if l == nil {
		l = quarantine.NewLedger()
		s.ledgers[service] = l
	}
	return l
}

func (c *control) ownLedger() *quarantine.Ledger {
	return c.crashes.ledger(ident.Service(c.self.Service))
}

// observeCrash records a crash of the local target. known is closed once the other daemons
// of the service know; it may be nil.
func (c *control) observeCrash(crash quarantine.Crash, known chan<- struct{}) {
	c.ownLedger().Add(crash)
	c.evidenceChanged()
	c.pushEvidence(c.servicePeers(), known)
}

// acquit records that the local target has served a suspected request.
func (c *control) acquit(f quarantine.Fingerprint) {
	if !c.ownLedger().Clear(f) {
		return
	}
	logevent.Log(c.log, logevent.RequestAcquitted, zap.Stringer("fingerprint", f))
	c.evidenceChanged()
	c.pushEvidence(c.servicePeers(), nil)
}

// release ends the quarantine of a request at the targets of the own service. It reports
// false if nothing speaks against the request.
func (c *control) release(f quarantine.Fingerprint) bool {
	if !c.ownLedger().Release(f, time.Now()) {
		return false
	}
	logevent.Log(c.log, logevent.RequestReleased, zap.Stringer("fingerprint", f))
	c.evidenceChanged()
	c.pushEvidence(c.servicePeers(), nil)
	return true
}

// evidenceChanged publishes the evidence after a change.
func (c *control) evidenceChanged() {
	now := time.Now()
	for _, service := range slices.Sorted(maps.Keys(c.crashes.ledgers)) {
		l := c.crashes.ledgers[service]
		for _, x := range l.Convict(now) {
			logevent.Log(c.log, logevent.RequestQuarantined, zap.Stringer("fingerprint", x.Print), zap.String("service", string(service)), zap.Int("crashes", x.Crashes))
		}
		l.Expire(now)
	}
	own := c.ownLedger()
	others := slices.DeleteFunc(slices.Collect(maps.Values(c.crashes.ledgers)), func(l *quarantine.Ledger) bool { return l == own })
	c.d.suspects.Store(quarantine.NewTable(own, others...))
	c.d.backend.gate.wake()
}

func (c *control) mergeEvidence(service ident.Service, r *quarantine.Record) {
	if c.crashes.ledger(service).Merge(r) {
		c.evidenceChanged()
	}
}

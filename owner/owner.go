package owner

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/parsleystack/parsleystack/admission"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/service"
	"github.com/parsleystack/parsleystack/transport"
)

const drainPollInterval = 5 * time.Millisecond

// Owner serves forwarded requests. All methods are safe for concurrent use.
type Owner struct {
	cfg      Config
	gate     *gate
	records  *idempotencyStore
	spec     atomic.Pointer[specVersion]
	inFlight atomic.Int64
	stats    Stats
}

// specVersion is a service's configuration and the log offset of its record.
type specVersion struct {
	spec   service.Spec
	offset platformlog.Offset
}

// New returns an Owner that refuses requests until SetSpec is called.
func New(cfg Config) *Owner {
	cfg = cfg.withDefaults()
	return &Owner{cfg: cfg, gate: newGate(cfg.Admission, cfg.Fast), records: newIdempotencyStore(cfg.Idempotency)}
}

// SetSpec applies a configuration of the service. A configuration older than
// the current one is ignored.
func (o *Owner) SetSpec(offset platformlog.Offset, spec service.Spec) {
	if v := o.spec.Load(); v != nil && offset < v.offset {
		return
	}
	o.spec.Store(&specVersion{spec: spec, offset: offset})
	cfg := o.cfg.Admission
	cfg.Slots, cfg.QueueLimit = spec.Slots, spec.QueueLimit
	if o.cfg.DisableAdmission {
		cfg.Slots, cfg.QueueLimit, cfg.FixedLimit = math.MaxInt32, 0, true
	}
	o.gate.step(admission.Event{Kind: admission.Configure, Config: &cfg})
}

// ServeRequest implements the method of transport.Handler for requests.
func (o *Owner) ServeRequest(e *transport.Exchange) {
	o.inFlight.Add(1)
	defer o.inFlight.Add(-1)
	r := newActiveRequest(o, e)
	r.serve()
	r.release()
}

// Drain refuses all queued requests and all that arrive from now on, except
// repeats whose response is stored. Requests that run at the target continue.
func (o *Owner) Drain() {
	o.gate.step(admission.Event{Kind: admission.Close})
}

// Wait blocks until no request is in flight or ctx ends.
func (o *Owner) Wait(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for o.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
	return nil
}

// InFlight returns the number of requests being served, queued ones included.
func (o *Owner) InFlight() int64 { return o.inFlight.Load() }

// Stats returns the owner's counters.
func (o *Owner) Stats() *Stats { return &o.stats }

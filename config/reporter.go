package config

import (
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/logevent"
)

// maxBehind is the time for which a daemon may lag behind a peer before that
// is logged.
const maxBehind = 10 * time.Second

// reporter logs what the steps of a Core change. It belongs to the goroutine
// that owns the Core.
type reporter struct {
	logger  *zap.Logger
	ready   bool
	logDown bool
	behind  bool
	fault   string
}

// step logs the effects of an event.
func (r *reporter) step(ev Event, eff *Effects, behindSince, now clock.Time) {
	for i := range eff.Verdicts {
		r.verdict(&eff.Verdicts[i])
	}
	r.logService(ev)
	r.inForce(ev, eff.InForce)
	r.lag(behindSince, now)
	r.fail(eff.Fault)
}

func (r *reporter) verdict(v *Verdict) {
	e := eventOf(v)
	if e == nil {
		return
	}
	fields := []zap.Field{zap.Uint64("offset", uint64(v.Offset))}
	if v.Change != nil {
		fields = append(fields, zap.String("service", string(v.Change.Service)), zap.String("author", v.Change.Author))
	}
	if v.Err != nil {
		fields = append(fields, zap.Error(v.Err))
	}
	logevent.Log(r.logger, e, fields...)
}

func eventOf(v *Verdict) *logevent.Event {
	switch {
	case v.Outcome == Undecodable:
		return logevent.ConfigUndecodable
	case v.Outcome == Accepted && v.Err != nil:
		return logevent.ServiceBlocked
	case v.Outcome == Accepted:
		return logevent.ConfigInForce
	case v.Outcome == Rejected:
		return logevent.ChangeRejected
	}
	return nil
}

// logService logs the first failed read and the first one that succeeds again.
func (r *reporter) logService(ev Event) {
	switch ev := ev.(type) {
	case LogFailed:
		if !r.logDown {
			logevent.Log(r.logger, logevent.LogUnavailable, zap.Error(ev.Err))
		}
		r.logDown = true
	case LogRead:
		if r.logDown {
			logevent.Log(r.logger, logevent.LogRecovered)
		}
		r.logDown = false
	}
}

func (r *reporter) inForce(ev Event, f *InForce) {
	if f == nil {
		return
	}
	if pulled, ok := ev.(Pulled); ok {
		logevent.Log(r.logger, logevent.ConfigPulled, zap.Uint64("offset", uint64(f.Offset)), zap.Stringer("peer", pulled.Peer))
	}
	if f.Ready && !r.ready {
		r.ready = true
		for _, err := range f.Blocked() {
			logevent.Log(r.logger, logevent.ServiceBlocked, zap.Error(err))
		}
	}
}

func (r *reporter) lag(behindSince, now clock.Time) {
	behind := behindSince != clock.Never && now.Sub(behindSince) > maxBehind
	if behind && !r.behind {
		logevent.Log(r.logger, logevent.ConfigBehind, zap.Duration("for", now.Sub(behindSince)))
	}
	r.behind = behind
}

func (r *reporter) fail(fault error) {
	text := ""
	if fault != nil {
		text = fault.Error()
	}
	if text != "" && text != r.fault {
		logevent.Log(r.logger, logevent.ConfigTruncated, zap.Error(fault))
	}
	r.fault = text
}

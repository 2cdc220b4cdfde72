package sidecar

import (
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/quarantine"
	"github.com/parsleystack/parsleystack/recvlimit"
)

// respond writes the response to the caller and logs the request.
func (f *callerRequest) respond(result outcome.Result) {
	out := &f.httpCtx.Response
	status := httpStatus(result)
	if result.Kind == outcome.Done {
		status = int(f.resp.Status)
		out.SetStatusCode(status)
		for i := range f.resp.Headers {
			if isLinkHeader(f.resp.Headers[i].Name) {
				continue
			}
			out.Header.AddBytesKV(f.resp.Headers[i].Name, f.resp.Headers[i].Value)
		}
		out.SetBodyRaw(f.resp.Body) // until Release
		f.exchange.BodyCounted = len(f.resp.Body) > recvlimit.FreeBytes
	} else {
		out.SetStatusCode(status)
		platform.SetRequestID(&out.Header, f.headers.RequestID)
		if result.Kind == outcome.NotRun && result.RetryAfter > 0 {
			platform.SetRetryAfter(&out.Header, result.RetryAfter)
		}
	}
	switch {
	case result.Kind == outcome.Unknown:
		f.logResult(logevent.RequestFailed, result, status)
	case result.Kind == outcome.NotRun:
		f.logResult(logevent.RequestRefused, result, status)
	case clock.Now().Sub(f.arrived) > f.route.Objective:
		f.logResult(logevent.RequestLate, result, status)
	default:
		f.logResult(logevent.RequestDone, result, status)
	}
}

func httpStatus(r outcome.Result) int {
	switch {
	case r.Kind == outcome.NotRun:
		return fasthttp.StatusServiceUnavailable
	case r.Reason == outcome.DeadlineExceeded:
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusBadGateway
}

// logResult logs and counts the request. details are added to its line.
func (f *callerRequest) logResult(e *logevent.Event, r outcome.Result, status int, details ...zap.Field) {
	d := f.ingress.d
	took := clock.Now().Sub(f.arrived)
	name := ""
	if f.route != nil {
		name = f.route.Name
	}
	d.metrics.observeRequest(name, r.Kind.String(), r.Reason.String(), took)
	if r.Reason == outcome.Canceled {
		d.metrics.countCallerLeft(r.Kind == outcome.Unknown)
	}
	if e.Level < d.logLevel {
		return
	}
	fields := []zap.Field{
		zap.String("request", f.headers.RequestID), zap.String("route", name), zap.Uint64("config", uint64(f.configVersion)),
		zap.Int("status", status), zap.Stringer("reason", r.Reason), zap.Duration("took", took), zap.Duration("unread", f.unread), zap.Int("attempts", len(f.tried)),
	}
	if f.behind {
		fields = append(fields, zap.Duration("waited", f.waited))
	}
	if f.lastTarget != nil {
		fields = append(fields, zap.String("daemon", string(f.lastTarget.instance)), zap.String("target", f.lastTarget.target.ID), zap.Int64("load", f.lastTarget.load.inFlight.Load()))
	}
	if f.service.Keyed {
		fields = append(fields, zap.Uint32("key", f.headers.Key), zap.String("owner", string(f.owner)))
	}
	if r.Reason == outcome.UnknownService || r.Reason == outcome.NotReady || e == logevent.RequestRejected {
		fields = append(fields, d.control.configurationFields()...)
	}
	if f.run {
		fields = append(fields, zap.Bool("run_call", true), zap.Uint8("urgency", f.req.Priority))
	}
	if f.evidence.Verdict() != quarantine.Unsuspected {
		fields = append(fields, zap.Stringer("fingerprint", f.print))
	}
	if r.RetryAfter > 0 {
		fields = append(fields, zap.Duration("retry_after", r.RetryAfter))
	}
	logevent.Log(d.log, e, append(fields, details...)...)
}

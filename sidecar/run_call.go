package sidecar

import (
	"bytes"

	"github.com/parsleystack/parsleystack/runcalls"
	"github.com/parsleystack/parsleystack/wire"
)

// runCallHeader marks a request between daemons as a call of a run. It is never forwarded to
// targets, or from callers. A daemon of an earlier version orders the call by its priority
// alone, and forwards the field.
var runCallHeader = []byte("Parsley-Run-Call")

// isRunCallHeader reports whether a header field is runCallHeader.
func isRunCallHeader(name []byte) bool { return bytes.EqualFold(name, runCallHeader) }

// isLinkHeader reports whether a header field is only sent between daemons.
func isLinkHeader(name []byte) bool { return isStatementHeader(name) || isRunCallHeader(name) }

// isRunCall reports whether a request of another daemon is a call of a run.
func isRunCall(req *wire.Request) bool {
	for i := range req.Headers {
		if isRunCallHeader(req.Headers[i].Name) {
			return true
		}
	}
	return false
}

// runOfCall returns the run at the local target that makes the call with a request id.
func (b *backend) runOfCall(requestID string) (runcalls.Run, bool) {
	current := b.incarnation.Load()
	if current == nil {
		return runcalls.Run{}, false
	}
	return current.runs.runOfCall(requestID)
}

// inherit gives a call the priority of its run, unless its own route is more urgent, and a
// deadline no later than that of the run. A call that waits behind others keeps the slot of its run
// occupied at another target, and one that is refused fails it.
func (f *callerRequest) inherit(run runcalls.Run) {
	f.run = true
	f.deadline = min(f.deadline, run.Deadline)
	f.resends.Constraints.Deadline = f.deadline
	f.req.Priority = max(f.req.Priority, run.Priority)
	if len(f.req.Headers) < wire.MaxHeaders {
		f.req.Headers = append(f.req.Headers, wire.Header{Name: runCallHeader, Value: runCallValue})
	}
	f.ingress.d.metrics.count(metricRunCalls)
}

var runCallValue = []byte("1")

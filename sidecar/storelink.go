package sidecar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/transport"
	"github.com/parsleystack/parsleystack/wire"
)

const (
	callStore           wire.CallKind = 1 // relay a call to the store
	callConfig          wire.CallKind = 2 // return the encoded configuration
	callDirectoryUpdate wire.CallKind = 3 // apply forwarded records of the directory
	// callDirectoryRecords returns the records of the directory from an offset on
	callDirectoryRecords wire.CallKind = 4
	callEvidence         wire.CallKind = 5 // merge evidence about requests that crash targets
	callDeparture        wire.CallKind = 6 // keep the departure of a target, a record of its daemon
)

const (
	// relayAfter is the time after a failed direct call in which calls are relayed
	// by other daemons first. The return of the store must be noticed within two seconds.
	relayAfter = 1600 * time.Millisecond
	// directRetryInterval is the shortest time between direct calls while they fail
	// and no other daemon reaches the store either. It bounds how late the daemon
	// notices that the store is back.
	directRetryInterval = 400 * time.Millisecond
	// relayMaxAge is the longest time since its last answer from the store after
	// which a daemon still relays calls.
	relayMaxAge = 6 * time.Second
	// maxRelayAttempts is the number of daemons that are tried for one call.
	maxRelayAttempts = 2
	// relayTimeout bounds a relayed call, in addition to its long-poll wait.
	relayTimeout = 1500 * time.Millisecond
)

var errStoreUnreachable = fmt.Errorf("%w: no other daemon reaches the store", platform.ErrNotSent)

var errDirectPaused = fmt.Errorf("%w: the last direct call failed a moment ago", platform.ErrNotSent)

// storeLink makes calls to the store. While direct calls fail or are rejected, other
// daemons relay them. A call with NoRetry set is not retried if an earlier attempt may
// have taken effect.
type storeLink struct {
	direct  platform.RoundTripper
	links   *transport.Pool
	log     *zap.Logger
	metrics *metricSet
	// peers returns the addresses of daemons that may relay, in order of preference.
	peers func() []string

	lastOK      atomic.Int64 // clock.Time of the last answer to a direct call
	lastFailure atomic.Int64 // clock.Time of the last failed direct call
	lastAttempt atomic.Int64 // clock.Time at which the last direct call was sent

	mu          sync.Mutex
	unreachable bool // the last direct call failed
}

// roundTrip implements platform.RoundTripper.
func (l *storeLink) roundTrip(ctx context.Context, call *platform.StoreCall) (*platform.StoreAnswer, error) {
	if l.avoidDirect() {
		answer, err := l.callRelayed(ctx, call)
		if err == nil {
			return answer, nil
		}
		l.recordRelayFailure(call, err)
		mayHaveTakenEffect := call.NoRetry && !errors.Is(err, platform.ErrNotSent)
		if mayHaveTakenEffect || clock.Now().Sub(clock.Time(l.lastAttempt.Load())) < directRetryInterval {
			return nil, err
		}
	}
	answer, err := l.callDirect(ctx, call)
	if err == nil && !answer.Rejected() || err != nil && call.NoRetry {
		return answer, err
	}
	if ctx.Err() != nil {
		return answer, err
	}
	relayed, relayErr := l.callRelayed(ctx, call)
	if relayErr == nil {
		return relayed, nil
	}
	l.recordRelayFailure(call, relayErr)
	if call.NoRetry && !errors.Is(relayErr, platform.ErrNotSent) {
		return nil, relayErr
	}
	return answer, err
}

// directOnly makes a direct call only. While direct calls fail, it is not sent within
// directRetryInterval of the last one.
func (l *storeLink) directOnly(ctx context.Context, call *platform.StoreCall) (*platform.StoreAnswer, error) {
	if l.avoidDirect() && clock.Now().Sub(clock.Time(l.lastAttempt.Load())) < directRetryInterval {
		return nil, errDirectPaused
	}
	return l.callDirect(ctx, call)
}

func (l *storeLink) recordRelayFailure(call *platform.StoreCall, err error) {
	l.metrics.countStoreCall("relay-failed")
	logevent.Log(l.log, logevent.RelayFailed, zap.String("call", call.URI), zap.Error(err))
}

// avoidDirect reports whether the last direct call failed less than relayAfter ago.
// After that time the next call goes to the store directly again.
func (l *storeLink) avoidDirect() bool {
	failed := clock.Time(l.lastFailure.Load())
	return failed != clock.Never && failed > clock.Time(l.lastOK.Load()) && clock.Now().Sub(failed) < relayAfter
}

func (l *storeLink) callDirect(ctx context.Context, call *platform.StoreCall) (*platform.StoreAnswer, error) {
	sent := clock.Now()
	l.lastAttempt.Store(int64(sent))
	answer, err := l.direct(ctx, call)
	switch {
	case ctx.Err() != nil:
		l.metrics.countStoreCall("given-up")
	case err != nil:
		l.metrics.countStoreCall("no-answer")
		l.lastFailure.Store(int64(clock.Now()))
		l.recordLost(call, 0, err)
	case answer.Rejected():
		l.metrics.countStoreCall("turned-away")
		l.lastFailure.Store(int64(clock.Now()))
		l.recordLost(call, answer.Status, nil)
	default:
		l.metrics.countStoreCall("answered")
		l.lastOK.Store(int64(clock.Now()))
		l.recordRegained()
	}
	l.metrics.observeStoreCall(clock.Now().Sub(sent) - call.Wait)
	return answer, err
}

func (l *storeLink) recordLost(call *platform.StoreCall, status int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.unreachable {
		l.unreachable = true
		logevent.Log(l.log, logevent.StoreUnavailable, zap.String("call", call.URI), zap.Int("status", status), zap.Error(err))
	}
}

func (l *storeLink) recordRegained() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		l.unreachable = false
		logevent.Log(l.log, logevent.StoreAvailable)
	}
}

// reachable reports whether the store answered a direct call within relayMaxAge.
func (l *storeLink) reachable() bool {
	ok := clock.Time(l.lastOK.Load())
	return ok != clock.Never && clock.Now().Sub(ok) < relayMaxAge
}

// callRelayed makes a call through other daemons. The error is ErrNotSent if none of
// them made the call.
func (l *storeLink) callRelayed(ctx context.Context, call *platform.StoreCall) (*platform.StoreAnswer, error) {
	body, err := (&relayCall{Method: call.Method, URI: call.URI, Body: call.Body, Wait: call.Wait}).MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	failed := errStoreUnreachable
	for i, addr := range l.peers() {
		if i == maxRelayAttempts {
			break
		}
		answer, err := l.callPeer(ctx, addr, body, call.Wait)
		switch {
		case err == nil && !answer.Rejected():
			l.metrics.countStoreCall("relayed")
			return answer, nil
		case err == nil || errors.Is(err, platform.ErrNotSent):
		case call.NoRetry:
			return nil, err
		default:
			failed = err
		}
	}
	return nil, failed
}

func (l *storeLink) callPeer(ctx context.Context, addr string, body []byte, wait time.Duration) (*platform.StoreAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	reply, err := l.links.Call(ctx, addr, callStore, body)
	if err != nil {
		return nil, err
	}
	return decodeRelayedAnswer(reply)
}

// serveRelay makes a direct call for another daemon. It is never relayed again.
func (l *storeLink) serveRelay(ctx context.Context, body []byte) ([]byte, error) {
	var call relayCall
	if _, err := call.UnmarshalMsg(body); err != nil {
		return nil, fmt.Errorf("decode relay call: %w", err)
	}
	if !l.reachable() || l.avoidDirect() {
		return (&relayAnswer{NotSent: true}).MarshalMsg(nil)
	}
	answer, err := l.callDirect(ctx, &platform.StoreCall{Method: call.Method, URI: call.URI, Body: call.Body, Wait: call.Wait})
	if err != nil {
		return nil, err
	}
	return encodeRelayedAnswer(answer)
}

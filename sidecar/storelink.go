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
	callStore  wire.CallKind = 1 // make a call to the store
	callConfig wire.CallKind = 2 // return the configuration as the operator wrote it
	callNews   wire.CallKind = 3 // take what was read from the directory
)

const (
	// relayAfter is the time after a failed call to the store in which calls go
	// to other daemons first.
	relayAfter = 2 * time.Second
	// directGap is the shortest time between direct calls while they fail and no
	// other daemon reaches the store either. Its return is noticed after as long.
	directGap = 400 * time.Millisecond
	// relayFresh is how lately a daemon must have reached the store to relay.
	relayFresh = 6 * time.Second
	// relayTries is the number of daemons asked for one call.
	relayTries = 2
	// relayTimeout bounds a relayed call beyond the wait it asks for.
	relayTimeout = 1500 * time.Millisecond
)

var errStoreUnreachable = fmt.Errorf("%w: no other daemon reaches the store", platform.ErrNotSent)

// storeLink carries calls to the store, by another daemon while the store
// turns this one away.
type storeLink struct {
	direct  platform.RoundTripper
	links   *transport.Pool
	log     *zap.Logger
	metrics *metricSet
	// peers returns the addresses of daemons to relay by, best first.
	peers func() []string

	lastOK  atomic.Int64 // clock.Time of the last answer to a direct call
	lastBad atomic.Int64 // clock.Time of the last failed direct call
	lastTry atomic.Int64 // clock.Time at which the last direct call was sent

	mu   sync.Mutex
	lost bool // the last direct call failed
}

// carry implements platform.RoundTripper.
func (l *storeLink) carry(ctx context.Context, call *platform.StoreCall) (*platform.StoreAnswer, error) {
	if l.avoidDirect() {
		answer, err := l.relayed(ctx, call)
		if err == nil {
			return answer, nil
		}
		l.noteRelayFailed(call, err)
		mayBeDone := call.Once && !errors.Is(err, platform.ErrNotSent)
		if mayBeDone || clock.Now().Sub(clock.Time(l.lastTry.Load())) < directGap {
			return nil, err
		}
	}
	answer, err := l.directly(ctx, call)
	if err == nil && !answer.TurnedAway() || err != nil && call.Once {
		return answer, err
	}
	relayed, relayErr := l.relayed(ctx, call)
	if relayErr == nil {
		return relayed, nil
	}
	l.noteRelayFailed(call, relayErr)
	if call.Once && !errors.Is(relayErr, platform.ErrNotSent) {
		return nil, relayErr
	}
	return answer, err
}

func (l *storeLink) noteRelayFailed(call *platform.StoreCall, err error) {
	l.metrics.storeCall("relay-failed")
	logevent.Log(l.log, logevent.RelayFailed, zap.String("call", call.URI), zap.Error(err))
}

// avoidDirect reports whether the store turned this daemon away lately. One
// call in relayAfter still goes to it.
func (l *storeLink) avoidDirect() bool {
	bad := clock.Time(l.lastBad.Load())
	return bad != clock.Never && bad > clock.Time(l.lastOK.Load()) && clock.Now().Sub(bad) < relayAfter
}

func (l *storeLink) directly(ctx context.Context, call *platform.StoreCall) (*platform.StoreAnswer, error) {
	sent := clock.Now()
	l.lastTry.Store(int64(sent))
	answer, err := l.direct(ctx, call)
	switch {
	case ctx.Err() != nil:
		l.metrics.storeCall("given-up")
	case err != nil:
		l.metrics.storeCall("no-answer")
		l.lastBad.Store(int64(clock.Now()))
		l.noteLost(call, 0, err)
	case answer.TurnedAway():
		l.metrics.storeCall("turned-away")
		l.lastBad.Store(int64(clock.Now()))
		l.noteLost(call, answer.Status, nil)
	default:
		l.metrics.storeCall("answered")
		l.lastOK.Store(int64(clock.Now()))
		l.noteRegained()
	}
	l.metrics.storeTook(clock.Now().Sub(sent) - call.Wait)
	return answer, err
}

func (l *storeLink) noteLost(call *platform.StoreCall, status int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lost {
		l.lost = true
		logevent.Log(l.log, logevent.StoreUnavailable, zap.String("call", call.URI), zap.Int("status", status), zap.Error(err))
	}
}

func (l *storeLink) noteRegained() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		l.lost = false
		logevent.Log(l.log, logevent.StoreAvailable)
	}
}

// fresh reports whether the store answered this daemon lately.
func (l *storeLink) fresh() bool {
	ok := clock.Time(l.lastOK.Load())
	return ok != clock.Never && clock.Now().Sub(ok) < relayFresh
}

// relayed makes a call by way of other daemons. The error is ErrNotSent if none
// of them made it.
func (l *storeLink) relayed(ctx context.Context, call *platform.StoreCall) (*platform.StoreAnswer, error) {
	body, err := (&relayCall{Method: call.Method, URI: call.URI, Body: call.Body, Wait: call.Wait}).MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	failed := errStoreUnreachable
	for i, addr := range l.peers() {
		if i == relayTries {
			break
		}
		answer, err := l.ask(ctx, addr, body, call.Wait)
		switch {
		case err == nil && !answer.TurnedAway():
			l.metrics.storeCall("relayed")
			return answer, nil
		case err == nil || errors.Is(err, platform.ErrNotSent):
		case call.Once:
			return nil, err
		default:
			failed = err
		}
	}
	return nil, failed
}

func (l *storeLink) ask(ctx context.Context, addr string, body []byte, wait time.Duration) (*platform.StoreAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	reply, err := l.links.Call(ctx, addr, callStore, body)
	if err != nil {
		return nil, err
	}
	var answer relayAnswer
	if _, err := answer.UnmarshalMsg(reply); err != nil {
		return nil, fmt.Errorf("relayed answer: %w", err)
	}
	if answer.NotSent {
		return nil, errStoreUnreachable
	}
	return &platform.StoreAnswer{Status: answer.Status, Body: answer.Body}, nil
}

// serveRelay makes a call for another daemon. It is never relayed further.
func (l *storeLink) serveRelay(ctx context.Context, body []byte) ([]byte, error) {
	var call relayCall
	if _, err := call.UnmarshalMsg(body); err != nil {
		return nil, fmt.Errorf("relay call: %w", err)
	}
	if !l.fresh() || l.avoidDirect() {
		return (&relayAnswer{NotSent: true}).MarshalMsg(nil)
	}
	answer, err := l.directly(ctx, &platform.StoreCall{Method: call.Method, URI: call.URI, Body: call.Body, Wait: call.Wait})
	if err != nil {
		return nil, err
	}
	return (&relayAnswer{Status: answer.Status, Body: answer.Body}).MarshalMsg(nil)
}

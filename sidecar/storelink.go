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
	// relayFresh is how lately a daemon must have reached the store to relay.
	relayFresh = 6 * time.Second
	// relayTries is the number of daemons asked for one call.
	relayTries = 2
	// relayTimeout bounds a relayed call beyond the wait it asks for.
	relayTimeout = 1500 * time.Millisecond
)

var errStoreUnreachable = errors.New("the store does not answer this daemon either")

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
	}
	answer, err := l.directly(ctx, call)
	if err == nil && !answer.TurnedAway() {
		return answer, nil
	}
	relayed, relayErr := l.relayed(ctx, call)
	if relayErr == nil {
		return relayed, nil
	}
	l.noteRelayFailed(call, relayErr)
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
		logevent.Log(l.log, logevent.StoreLost, zap.String("call", call.URI), zap.Int("status", status), zap.Error(err))
	}
}

func (l *storeLink) noteRegained() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		l.lost = false
		logevent.Log(l.log, logevent.StoreRegained)
	}
}

// fresh reports whether the store answered this daemon lately.
func (l *storeLink) fresh() bool {
	ok := clock.Time(l.lastOK.Load())
	return ok != clock.Never && clock.Now().Sub(ok) < relayFresh
}

func (l *storeLink) relayed(ctx context.Context, call *platform.StoreCall) (*platform.StoreAnswer, error) {
	body, err := (&relayCall{Method: call.Method, URI: call.URI, Body: call.Body, Wait: call.Wait}).MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	err = errStoreUnreachable
	for i, addr := range l.peers() {
		if i == relayTries {
			break
		}
		var answer *platform.StoreAnswer
		if answer, err = l.ask(ctx, addr, body, call.Wait); err == nil && !answer.TurnedAway() {
			l.metrics.storeCall("relayed")
			return answer, nil
		}
	}
	if err == nil {
		err = errStoreUnreachable
	}
	return nil, err
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
	return &platform.StoreAnswer{Status: answer.Status, Body: answer.Body}, nil
}

// serveRelay makes a call for another daemon. It is never relayed further.
func (l *storeLink) serveRelay(ctx context.Context, body []byte) ([]byte, error) {
	var call relayCall
	if _, err := call.UnmarshalMsg(body); err != nil {
		return nil, fmt.Errorf("relay call: %w", err)
	}
	if !l.fresh() {
		return nil, errStoreUnreachable
	}
	answer, err := l.directly(ctx, &platform.StoreCall{Method: call.Method, URI: call.URI, Body: call.Body, Wait: call.Wait})
	if err != nil {
		return nil, err
	}
	return (&relayAnswer{Status: answer.Status, Body: answer.Body}).MarshalMsg(nil)
}

package config

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

// unavailableLog is a log service that is unavailable.
type unavailableLog struct{}

func (unavailableLog) Append(context.Context, platformlog.Stream, []byte) (platformlog.Offset, error) {
	return 0, &platformlog.UnavailableError{Op: "append", Cause: errors.New("down")}
}

func (unavailableLog) Read(context.Context, platformlog.Stream, platformlog.Offset, int) (platformlog.Batch, error) {
	return platformlog.Batch{}, &platformlog.UnavailableError{Op: "read", Cause: errors.New("down")}
}

// directPeer answers pulls from a Follower in the same process.
type directPeer struct{ follower *Follower }

func (p directPeer) Pull(_ context.Context, _ ident.Node, q Pull) (*PullAnswer, error) {
	return p.follower.Answer(q), nil
}

// follow runs a Follower until the test ends. It returns the Follower and a
// channel with the configurations that it puts in force.
func follow(t *testing.T, log platformlog.Log, peers PeerClient) (*Follower, <-chan *InForce) {
	changes := make(chan *InForce, 100)
	f := NewFollower(FollowerConfig{
		Parameters: DefaultParameters(time.Hour),
		Log:        log,
		Peers:      peers,
		OnChange:   func(f *InForce) { changes <- f },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("Run returned %v", err)
		}
	})
	return f, changes
}

// waitFor returns the first ready configuration that includes the record at
// offset.
func waitFor(t *testing.T, changes <-chan *InForce, offset platformlog.Offset) *InForce {
	t.Helper()
	timeout := time.After(time.Minute)
	for {
		select {
		case f := <-changes:
			if f.Ready && f.Offset >= offset {
				return f
			}
		case <-timeout:
			t.Fatalf("offset %d is not in force after a minute", offset)
		}
	}
}

func TestFollowerPutsChangesIntoForce(t *testing.T) {
	log := logtest.New(logtest.Options{LongPoll: 10 * time.Millisecond})
	f, changes := follow(t, log, nil)
	if f.InForce().Ready {
		t.Fatal("ready before the first read")
	}
	waitFor(t, changes, 0)
	for i := 1; i <= 3; i++ {
		payload := publishPayload(t, "reports", i, platformlog.Offset(i-1), "anna", uint64(i))
		if _, err := log.Append(context.Background(), Stream, payload); err != nil {
			t.Fatal(err)
		}
		if in := waitFor(t, changes, platformlog.Offset(i)); in.Service("reports").Spec.Slots != i {
			t.Fatalf("%d slots are in force, want %d", in.Service("reports").Spec.Slots, i)
		}
	}
}

// A daemon that can't read the log loads the configuration from a peer and then
// pulls the peer's new records.
func TestFollowerWithoutLogFollowsAPeer(t *testing.T) {
	log := logtest.New(logtest.Options{LongPoll: 10 * time.Millisecond})
	peer, peerChanges := follow(t, log, nil)
	node := ident.Node{Instance: "reports-1", Incarnation: 1}
	if _, err := log.Append(context.Background(), Stream, publishPayload(t, "reports", 1, 0, "anna", 1)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, peerChanges, 1)
	f, changes := follow(t, unavailableLog{}, directPeer{peer})
	f.SetPeers([]ident.Node{node})
	waitFor(t, changes, 1)
	if _, err := log.Append(context.Background(), Stream, publishPayload(t, "reports", 2, 1, "anna", 2)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, peerChanges, 2)
	f.PeerOffset(node, 2)
	if in := waitFor(t, changes, 2); in.Service("reports").Spec.Slots != 2 {
		t.Fatalf("%d slots are in force, want 2", in.Service("reports").Spec.Slots)
	}
}

// A daemon must know that its configuration is outdated while a peer has records that it
// can't read, and only then: the services that it lacks may exist.
func TestFollowerKnowsThatItIsOutdated(t *testing.T) {
	log := logtest.New(logtest.Options{LongPoll: 10 * time.Millisecond})
	f, changes := follow(t, log, nil)
	node := ident.Node{Instance: "reports-1", Incarnation: 1}
	f.SetPeers([]ident.Node{node})
	waitFor(t, changes, 0)
	await := func(want bool) {
		t.Helper()
		for end := time.Now().Add(time.Minute); f.Status().Outdated() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("outdated is not %v after a minute", want)
			}
		}
	}
	await(false)
	f.PeerOffset(node, 1)
	await(true)
	if _, err := log.Append(context.Background(), Stream, publishPayload(t, "reports", 1, 0, "anna", 1)); err != nil {
		t.Fatal(err)
	}
	await(false)
}

package sidecar

import (
	"errors"
	"testing"

	"github.com/parsleystack/parsleystack/platform"
)

// Daemons of the version before send and accept relayed answers without an era. One
// that could not decode the other's answers would lose its relays during an upgrade.
func TestRelayedAnswersOfEarlierVersions(t *testing.T) {
	answer := &platform.StoreAnswer{Status: 200, Body: []byte("x"), Era: 7}
	b, err := encodeRelayedAnswer(answer)
	if err != nil {
		t.Fatal(err)
	}
	var earlier relayAnswer // the whole answer as earlier versions decode it
	if _, err := earlier.UnmarshalMsg(b); err != nil || earlier.Status != 200 || string(earlier.Body) != "x" || earlier.NotSent {
		t.Errorf("an earlier version reads %+v, %v", earlier, err)
	}
	if got, err := decodeRelayedAnswer(b); err != nil || got.Era != 7 || got.Status != 200 || string(got.Body) != "x" {
		t.Errorf("%+v, %v", got, err)
	}
	if b, err = earlier.MarshalMsg(nil); err != nil {
		t.Fatal(err)
	}
	if got, err := decodeRelayedAnswer(b); err != nil || got.Era != 0 || got.Status != 200 {
		t.Errorf("an answer of an earlier version: %+v, %v", got, err)
	}
	if b, err = (&relayAnswer{NotSent: true}).MarshalMsg(nil); err != nil {
		t.Fatal(err)
	}
	if _, err := decodeRelayedAnswer(b); !errors.Is(err, platform.ErrNotSent) {
		t.Errorf("a call that was not made: %v", err)
	}
}

package sidecar

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// One heartbeat of another writer, in which fields are missing, was taken for a later start of
// the target: others got its keys while it held them, and its own heartbeats were ignored.
func TestHeartbeatWithMissingFieldsDoesNotReplaceTheTarget(t *testing.T) {
	t.Parallel()
	for _, state := range []string{"draining", "ready"} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, keyedService, keyedService, plainService)
			d.awaitServing()
			n := d.nodes[0]
			eventually(t, "it holds keys", func() bool { return len(n.heldKeys()) > 0 })
			held := n.heldKeys()
			foreign := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"slots":8},"status":{"state":%q,"seq":1}}`,
				n.target.Addr, time.Now().UnixMilli(), keyedService, state)
			if err := n.target.SendHeartbeat(); err != nil {
				t.Fatal(err)
			}
			if status, err := platformtest.SendHeartbeat(n.settings.ControlAddr, "t-foreign", foreign); err != nil || status != http.StatusBadRequest {
				t.Errorf("heartbeat of another writer: status %d, %v", status, err)
			}
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				for _, key := range held {
					if d.nodes[1].target.Holds(key) {
						t.Fatalf("key %d is granted to another target", key)
					}
				}
			}
			if now := n.heldKeys(); len(now) != len(held) {
				t.Errorf("the target holds %d of %d keys", len(now), len(held))
			}
		})
	}
}

// heldKeys returns some of the keys that the target holds.
func (n *testNode) heldKeys() (keys []int64) {
	for key := int64(0); key <= 65535; key += 512 {
		if n.target.Holds(key) {
			keys = append(keys, key)
		}
	}
	return keys
}

// A target whose clock was set back between two starts states an earlier one than before. Its
// heartbeats were ignored, also the one that announced its departure.
func TestTargetWithAnEarlierStartCounts(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService, plainService)
	for _, n := range d.nodes {
		n.awaitUnkeyedServing(t)
	}
	n := d.nodes[0]
	n.target.Stop()
	ahead := platformtest.HeartbeatBody(n.target.Addr, plainService, "ready", time.Now().Add(2*time.Second).UnixMilli(), 1)
	if status, err := platformtest.SendHeartbeat(n.settings.ControlAddr, n.target.ID, ahead); err != nil || status != http.StatusOK {
		t.Fatalf("heartbeat under a clock ahead: status %d, %v", status, err)
	}
	if err := n.target.Start(); err != nil {
		t.Fatal(err)
	}
	n.target.Drain()
	var acknowledged time.Time
	eventually(t, "its departure is acknowledged", func() bool {
		if n.target.SendHeartbeat() != nil {
			return false
		}
		acknowledged = time.Now()
		return true
	})
	d.expectNoWork(n, acknowledged, time.Now())
}

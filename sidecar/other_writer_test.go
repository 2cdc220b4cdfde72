package sidecar

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/platform/platformtest"
	"github.com/parsleystack/parsleystack/routetable"
)

// One heartbeat of another writer, in which fields are missing, was taken for a later start of
// the target, or for the target's own: others got its keys while it held them, or its own
// heartbeats were ignored and it held no key any more. No single heartbeat may do that,
// whatever it lacks, and none that names another target while the present one goes on. What
// targets were granted is judged, also of the target beside the daemon that was asked.
func TestHeartbeatOfAnotherWriterTakesNoKeys(t *testing.T) {
	t.Parallel()
	type writer struct {
		id   string        // empty for the target's own
		born time.Duration // its start, after the target's
		seq  uint64
	}
	foreign, own, reborn := writer{"t-foreign", time.Millisecond, 1}, writer{"", 0, 1 << 40}, writer{"", time.Millisecond, 1}
	without := func(fields ...string) map[string]platformtest.FieldFault {
		faults := make(map[string]platformtest.FieldFault)
		for _, f := range fields {
			faults[f] = platformtest.FieldMissing
		}
		return faults
	}
	unneeded := without(platformtest.UndecidedFields()...)
	for name, c := range map[string]struct {
		writer writer
		state  string
		faults map[string]platformtest.FieldFault
		want   int
	}{
		"another target, draining, fields that no decision needs missing":   {foreign, "draining", unneeded, http.StatusBadRequest},
		"another target, ready, fields that no decision needs missing":      {foreign, "ready", unneeded, http.StatusBadRequest},
		"another target, ready, lists missing":                              {foreign, "ready", without("holds", "released"), http.StatusBadRequest},
		"another target, draining, lists missing":                           {foreign, "draining", without("holds", "released"), http.StatusBadRequest},
		"the target's own, draining, fields that no decision needs missing": {own, "draining", unneeded, http.StatusBadRequest},
		"the target's own, ready, a list is null":                           {own, "ready", map[string]platformtest.FieldFault{"holds": platformtest.FieldNull}, http.StatusBadRequest},
		"a later start of the target, lists missing":                        {reborn, "ready", without("holds", "released"), http.StatusBadRequest},
		"another target, ready, complete":                                   {foreign, "ready", nil, http.StatusServiceUnavailable},
		"another target, draining, complete":                                {foreign, "draining", nil, http.StatusServiceUnavailable},
		"a later start of the target, complete":                             {reborn, "ready", nil, http.StatusServiceUnavailable},
	} {
		for _, restarted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, restarted %t", name, restarted), func(t *testing.T) {
				t.Parallel()
				d := deploy(t, keyedService, keyedService, plainService)
				d.awaitServing()
				n := d.nodes[0]
				eventually(t, "it holds keys", func() bool { return len(n.heldKeys()) > 0 })
				held := n.heldKeys()
				if restarted {
					n.restartDaemon(t)
				}
				id, born := n.target.ID, n.target.Born()+c.writer.born.Milliseconds()
				if c.writer.id != "" {
					id = c.writer.id
				}
				form := platformtest.HeartbeatForm{Addr: n.target.Addr, Service: keyedService, State: c.state, Born: born, Seq: c.writer.seq, Faults: c.faults}
				status := 0
				eventually(t, "the heartbeat is answered", func() (answered bool) {
					var err error
					status, err = platformtest.SendHeartbeat(n.settings.ControlAddr, id, form.Body())
					return err == nil
				})
				if status != c.want && !restarted { // a process without a configuration does not know which fields are needed
					t.Errorf("the heartbeat of another writer is answered with %d, want %d", status, c.want)
				}
				time.Sleep(4 * time.Second)
				if v := d.held.Violations(); len(v) > 0 {
					t.Errorf("keys had two holders: %v", v)
				}
				if now := n.heldKeys(); len(now) != len(held) {
					t.Errorf("the target holds %d of %d keys", len(now), len(held))
				}
			})
		}
	}
}

// Heartbeats of other writers that no list of forms names: any fields may be missing, null or
// of another type, under any name, at any moment. Beside them keys move, daemons start again,
// heartbeats are late and targets are replaced.
func TestRandomHeartbeatsOfOtherWriters(t *testing.T) {
	t.Parallel()
	const seeds = 4
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 1))
			d := deploy(t, keyedService, keyedService, keyedService, plainService)
			d.awaitServing()
			for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				n := d.nodes[random.IntN(3)]
				switch random.IntN(100) {
				case 0:
					n.restartDaemon(t)
				case 1:
					n.target.Stop()
					if err := n.target.Start(); err != nil {
						t.Fatal(err)
					}
				case 2:
					n.target.PauseHeartbeats(time.Duration(random.IntN(2500)) * time.Millisecond)
				case 3:
					n.target.SetSlots(1 + random.IntN(16)) // keys move
				default:
					id, form := n.randomHeartbeat(random)
					_, _ = platformtest.SendHeartbeat(n.settings.ControlAddr, id, form.Body()) // the daemon may be starting
				}
			}
			if v := d.held.Violations(); len(v) > 0 {
				t.Errorf("keys had two holders: %v", v)
			}
			d.awaitServing()
		})
	}
}

// randomHeartbeat returns a heartbeat that the node's target did not send: it names another
// target or another start, or has a field that is not as the target sends it.
func (n *testNode) randomHeartbeat(random *rand.Rand) (id string, form platformtest.HeartbeatForm) {
	form = platformtest.HeartbeatForm{
		Addr: n.target.Addr, Service: keyedService, State: []string{"ready", "draining"}[random.IntN(2)], Born: n.target.Born(),
		Seq: uint64(1) << random.IntN(50), Released: [][3]any{{0, 65535, "h"}}, Faults: make(map[string]platformtest.FieldFault),
	}
	if random.IntN(2) == 0 {
		form.Released = nil
	}
	id = n.target.ID
	fields, faults := platformtest.HeartbeatFields(), platformtest.FieldFaults()
	for range random.IntN(6) {
		form.Faults[fields[random.IntN(len(fields))]] = faults[random.IntN(len(faults))]
	}
	switch random.IntN(4) {
	case 0:
		id = "t-foreign"
		form.Born = time.Now().UnixMilli()
	case 1:
		form.Born += 1 + random.Int64N(5000)
	case 2:
		form.Born -= 1 + random.Int64N(5000)
	default: // in the name of the target that runs
		form.Faults[fields[random.IntN(len(fields))]] = faults[random.IntN(len(faults))]
	}
	return id, form
}

// A target whose heartbeats are late for longer than two intervals is not replaced by the
// first one that another writer sends meanwhile: its grants have not expired.
func TestLateTargetIsNotReplacedWhileItHoldsKeys(t *testing.T) {
	t.Parallel()
	d := deploy(t, keyedService, keyedService)
	for _, n := range d.nodes {
		eventually(t, "it holds keys", func() bool { return len(n.heldKeys()) > 0 })
	}
	n := d.nodes[0]
	n.target.PauseHeartbeats(1500 * time.Millisecond)
	time.Sleep(time.Second)
	form := platformtest.HeartbeatForm{Addr: n.target.Addr, Service: keyedService, State: "ready", Born: time.Now().UnixMilli(), Seq: 1}
	if status, err := platformtest.SendHeartbeat(n.settings.ControlAddr, "t-foreign", form.Body()); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("the heartbeat of another writer is answered with %d, %v", status, err)
	}
	eventually(t, "its heartbeats count again", func() bool { return n.target.SendHeartbeat() == nil && n.targetState() == fleet.TargetReady })
	eventually(t, "it holds keys again", func() bool { return len(n.heldKeys()) > 0 })
	if v := d.held.Violations(); len(v) > 0 {
		t.Errorf("keys had two holders: %v", v)
	}
}

// A heartbeat whose answer waits for a departure to be kept was answered with the grants of the
// target that had taken the sender's place meanwhile.
func TestAnswerAfterTheTargetWasReplacedGrantsNothing(t *testing.T) {
	c := newKeyedControl()
	earlier := &platform.Heartbeat{Addr: c.d.settings().TargetAddr, Service: keyedService, Target: ownertable.Target{ID: "t-0", StartTime: 5}, Seq: 9, Slots: 8, ListsKeys: true}
	later := *earlier
	later.Target = ownertable.Target{ID: "t-1", StartTime: 6}
	c.updateTarget(earlier, clock.Now())
	c.updateTarget(&later, clock.Now())
	c.agent.TableRead(&ownertable.Table{Shards: []ownertable.Shard{{Range: ownertable.Range{To: ownertable.MaxKey}, Token: 1, Owner: c.owner()}}}, 0, clock.Now())
	c.agent.Joined(clock.Now(), time.Hour)
	c.agent.Applied(1, clock.Now(), true)
	now := clock.Now()
	if r := c.answerHeartbeat(&later, now, now); !strings.Contains(string(r.body), "65535") {
		t.Fatalf("the present target gets %s", r.body)
	}
	if r := c.answerHeartbeat(earlier, now, now); strings.Contains(string(r.body), "65535") {
		t.Errorf("the earlier target gets %s", r.body)
	}
}

// A daemon whose target changes its service and comes back, as a heartbeat of another writer
// could make it do, took the grants of the moments before for ones that had expired.
func TestGrantsOutliveAChangeOfTheService(t *testing.T) {
	c := newKeyedControl()
	c.d.started = clock.Now().Add(-time.Minute)
	for _, service := range []string{plainService, keyedService} {
		c.self.Service = service
		c.changeService()
	}
	if left := c.agent.HoldsExpire().Sub(clock.Now()); left < ownertable.LeaseTime {
		t.Errorf("earlier grants count as expired in %v, want %v or more", left, ownertable.LeaseTime)
	}
}

// newKeyedControl returns the control state of a daemon that does not run, with a configuration
// in which its service is divided by key.
func newKeyedControl() *control {
	s := &platform.Settings{Instance: "node-0", LinkAddr: "127.0.0.1:1", TargetAddr: "127.0.0.1:2", Service: keyedService, MaxGrantTTL: 10 * time.Second, HeartbeatInterval: 300 * time.Millisecond}
	c := New(s, zap.NewNop(), func() uint64 { return 0 }).control
	c.routes = routetable.New(routetable.Configuration{Version: 1, Services: map[ident.Service]routetable.Service{keyedService: {Keyed: true}, plainService: {}}})
	return c
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
	eventually(t, "a heartbeat under a clock ahead is accepted", func() bool {
		status, err := platformtest.SendHeartbeat(n.settings.ControlAddr, n.target.ID, ahead)
		return err == nil && status == http.StatusOK
	})
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

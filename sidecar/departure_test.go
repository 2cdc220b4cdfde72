package sidecar

import (
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// restartDaemon ends the node's daemon and starts it again, beside its running target.
func (n *testNode) restartDaemon(t *testing.T) {
	t.Helper()
	n.stop()
	<-n.done
	n.start(t)
}

// leave sends departure notices until one is acknowledged.
func (n *testNode) leave(t *testing.T) (acknowledged time.Time) {
	t.Helper()
	eventually(t, "the departure is acknowledged", func() bool {
		return n.target.SendDeparture() == nil
	})
	return time.Now()
}

// touchTime is the time after its start in which a daemon is not bound by what an earlier
// process acknowledged: it has to learn of that first. All others are bound at once.
const touchTime = 3 * time.Second

// expectNoWork sends requests until some time after touchTime and fails the test if one
// reaches the node's target later than its drain time after its departure was acknowledged,
// but for those through the node itself in the touchTime after its restart.
func (d *deployment) expectNoWork(n *testNode, acknowledged, restarted time.Time) {
	d.t.Helper()
	bound := make(map[string]bool) // by request ID
	for end := restarted.Add(touchTime + 2*time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, entry := range d.nodes {
			id := newID()
			bound[id] = entry != n || time.Since(restarted) > touchTime
			entry.call(http.MethodPost, "/book/a", id, platformtest.NoKey)
		}
	}
	late := 0
	for _, r := range d.records.Runs() {
		if bound[r.RequestID] && r.Target == n.target.ID && r.Began.Sub(acknowledged) > n.settings.DrainTime {
			late++
		}
	}
	if late > 0 {
		d.t.Errorf("%d requests reached the target over %v after its departure was acknowledged", late, n.settings.DrainTime)
	}
}

// A departure that was acknowledged while the store was away was forgotten by a restart of
// the daemon, and the target got requests until it ended.
func TestAcknowledgedDepartureOutlivesARestart(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService, plainService, plainService)
	for _, n := range d.nodes {
		n.awaitUnkeyedServing(t)
	}
	n := d.nodes[0]
	d.store.SetFault(platformtest.Unavailable)
	n.target.StopHeartbeats()
	acknowledged := time.Time{}
	if n.target.SendDeparture() == nil {
		acknowledged = time.Now()
	}
	n.restartDaemon(t)
	d.store.SetFault(platformtest.NoFault)
	if acknowledged.IsZero() {
		acknowledged = n.leave(t)
		n.restartDaemon(t)
	}
	restarted := time.Now()
	d.nodes[1].awaitUnkeyedServing(t)
	d.expectNoWork(n, acknowledged, restarted)
}

// A departure notice that was the first that a new process heard of its target was
// acknowledged and dropped; the earlier process's record says that the target is ready.
func TestDepartureBeforeTheRecordIsReadIsKept(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService, plainService)
	for _, n := range d.nodes {
		n.awaitUnkeyedServing(t)
	}
	n := d.nodes[0]
	n.target.StopHeartbeats()
	n.stop()
	<-n.done
	d.store.SetFault(platformtest.Unavailable)
	n.start(t)
	eventually(t, "the daemon answers", func() bool {
		resp, err := http.Get("http://" + n.settings.ReadyAddr + "/")
		return err == nil && resp.Body.Close() == nil
	})
	acknowledged := time.Time{}
	if n.target.SendDeparture() == nil {
		acknowledged = time.Now()
	}
	d.store.SetFault(platformtest.NoFault)
	if acknowledged.IsZero() {
		acknowledged = n.leave(t)
	}
	d.nodes[1].awaitUnkeyedServing(t)
	d.expectNoWork(n, acknowledged, time.Now())
	_ = n.target.SendHeartbeat() // a late one, from before the departure
	if state := n.targetState(); state != fleet.TargetLeaving {
		t.Errorf("after a late heartbeat the target is %v, want leaving", state)
	}
}

// newTestControl returns the control state of a daemon that is not running.
func newTestControl() *control {
	s := &platform.Settings{Instance: "node-0", LinkAddr: "127.0.0.1:1", TargetAddr: "127.0.0.1:2", Service: plainService, MaxGrantTTL: 10 * time.Second, DrainTime: 2 * time.Second}
	return New(s, zap.NewNop(), func() uint64 { return 0 }).control
}

// earlierRecord returns the record that an earlier process has written.
func earlierRecord(state fleet.TargetState) fleet.Member {
	return fleet.Member{Instance: "node-0", Incarnation: 1, Revision: 1, Addr: "127.0.0.1:1", Service: plainService, TargetID: "t-0", TargetStartMS: 5, Slots: 8, State: state}
}

func (c *control) applyOwnRecord(at metastore.Offset, m fleet.Member) {
	c.applyDirectory(at, metastore.Batch{End: at + 1, Records: []metastore.Record{{Key: memberPrefix + "node-0", Value: m.Encode(), Offset: at}}}, clock.Now(), !c.directoryLoaded)
}

// A restarted daemon took a target whose departure an earlier process had acknowledged for
// ready after a late heartbeat, before or after it had read the record.
func TestDepartureInAnEarlierRecordIsFinal(t *testing.T) {
	heartbeat := &platform.Heartbeat{Addr: "127.0.0.1:2", Service: plainService, Target: platform.TargetID{ID: "t-0", StartTime: 5}, Seq: 9, Slots: 8}
	for name, heartbeatFirst := range map[string]bool{"heartbeat, record": true, "record, heartbeat": false} {
		c := newTestControl()
		if heartbeatFirst {
			c.updateTarget(heartbeat, clock.Now())
		}
		c.applyOwnRecord(0, earlierRecord(fleet.TargetLeaving))
		if !heartbeatFirst {
			c.updateTarget(heartbeat, clock.Now())
		}
		if c.self.State != fleet.TargetLeaving || c.d.backend.incarnation.Load().refuseFrom == clock.Never {
			t.Errorf("%s: the target is %v, and requests to it are not refused", name, c.self.State)
		}
		started := *heartbeat
		started.Target.StartTime = time.Now().UnixMilli()
		c.updateTarget(&started, clock.Now())
		if c.self.State != fleet.TargetReady {
			t.Errorf("%s: the next target with its ID is %v, want ready", name, c.self.State)
		}
	}
	c := newTestControl()
	c.applyOwnRecord(0, earlierRecord(fleet.TargetSilent))
	c.updateTarget(heartbeat, clock.Now())
	if c.self.State != fleet.TargetReady {
		t.Errorf("a silent target is %v after a heartbeat, want ready", c.self.State)
	}
}

// An append of an older record whose answer was lost, made after the departure was stored,
// hid the departure from later processes.
func TestOwnRecordIsWrittenAgainAfterALateAppend(t *testing.T) {
	c := newTestControl()
	c.applyOwnRecord(0, earlierRecord(fleet.TargetReady))
	written := <-c.d.members.pending
	c.applyOwnRecord(1, written)
	var answers []heartbeatResponse
	c.handleDeparture("t-0", func(a heartbeatResponse) { answers = append(answers, a) })
	departed := <-c.d.members.pending
	if departed.State != fleet.TargetLeaving || len(answers) > 0 {
		t.Fatalf("the record to write says %v; %d answers before it is stored", departed.State, len(answers))
	}
	c.recordStored(departed.Incarnation, departed.Revision)
	if len(answers) != 1 {
		t.Fatal("the departure is not acknowledged after it was stored")
	}
	c.applyOwnRecord(2, departed)
	if len(c.d.members.pending) > 0 {
		t.Error("the record is written again without a need")
	}
	c.applyOwnRecord(3, written)
	if len(c.d.members.pending) == 0 {
		t.Fatal("the record is not written again after a late append of an older one")
	}
	if again := <-c.d.members.pending; again.State != fleet.TargetLeaving || c.departureKept() {
		t.Errorf("the record to write says %v; the departure counts as kept: %v", again.State, c.departureKept())
	}
}

package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// deployFleet starts n instances, alternately of the two services.
func deployFleet(t *testing.T, n int) *deployment {
	services := make([]string, n)
	for i := range services {
		services[i] = []string{keyedService, plainService}[i%2]
	}
	return deploy(t, services...)
}

func (n *testNode) applied() metastore.Offset {
	return metastore.Offset(n.daemon.control.appliedShared.Load())
}

// In a large fleet only some daemons read the directory and forward new records. A
// record must reach all daemons soon, and cost about as many reads as the square root
// of the number of daemons. If each daemon read each record, the calls to the store
// would grow with the square of that number.
func TestDirectoryUpdatesCostFewReadsInALargeFleet(t *testing.T) {
	t.Parallel()
	const size, records, timeout = 20, 12, 700 * time.Millisecond
	d := deployFleet(t, size)
	d.nodes[0].awaitUnkeyedServing(t)
	time.Sleep(startupPeriod)
	before, end := d.store.Calls(platformtest.ReadPath), d.nodes[0].applied()
	for i := range records {
		d.store.Put(platform.KeyedTopic(directoryTopic), fmt.Sprint("note/", i), []byte("x"))
		deadline := time.Now().Add(timeout)
		for _, n := range d.nodes {
			for n.applied() <= end && time.Now().Before(deadline) {
				time.Sleep(2 * time.Millisecond)
			}
			if n.applied() <= end {
				t.Errorf("%s has not applied record %d after %v", n.settings.Instance, i, timeout)
			}
		}
		end = d.nodes[0].applied()
	}
	// Three daemons read each record, and each daemon makes a few reads of its own.
	if calls := d.store.Calls(platformtest.ReadPath) - before; calls > records*4+2*size {
		t.Errorf("%d reads for %d records in a fleet of %d", calls, records, size)
	}
}

// A daemon that forwards records fails. The daemons behind it must see from statuses
// that others are ahead, and read the store themselves.
func TestDirectoryUpdatesReachAllAfterTheirReaderFailed(t *testing.T) {
	t.Parallel()
	const size = 20
	d := deployFleet(t, size)
	d.nodes[0].awaitUnkeyedServing(t)
	time.Sleep(startupPeriod)
	failed := d.nodes[0] // the daemons with the first names are the readers
	failed.daemon.server.Close()
	failed.daemon.peerLinks.Close()
	end := d.nodes[1].applied()
	for i := range 3 {
		d.store.Put(platform.KeyedTopic(directoryTopic), fmt.Sprint("note/", i), []byte("x"))
	}
	for _, n := range d.nodes[1:] {
		eventually(t, "the records are applied", func() bool { return n.applied() >= end+3 })
	}
}

// A forwarded update that starts after the applied records must be dropped. If it were
// applied, the records between would be skipped for good.
func TestDirectoryUpdateWithMissingRecordsIsDropped(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService)
	d.nodes[0].awaitUnkeyedServing(t)
	eventually(t, "a record lies before the applied offset", func() bool { return d.nodes[0].applied().Position() > 0 })
	c := d.nodes[0].daemon.control
	done := make(chan [2]metastore.Offset)
	c.do(func() {
		start := c.applied
		c.applyForwarded(&directoryUpdate{From: int64(start) + 1, Records: []updateRecord{{Key: "note/a", Offset: int64(start) + 1}}})
		afterMissing := c.applied - start
		c.applyForwarded(&directoryUpdate{From: int64(start) - 1, Records: []updateRecord{{Key: "note/b", Offset: int64(start) - 1}, {Key: "note/a", Offset: int64(start)}}})
		done <- [2]metastore.Offset{afterMissing, c.applied - start}
	})
	if got := <-done; got != [2]metastore.Offset{0, 1} {
		t.Errorf("applied offset advanced by %d after an update with missing records and by %d after one without, want 0 and 1", got[0], got[1])
	}
}

// A forwarded update must not confirm the lease, since it does not prove that the
// store still has this daemon as a member. Only reads and lease extensions do.
func TestDirectoryUpdateConfirmsNoLease(t *testing.T) {
	t.Parallel()
	d := deploy(t, keyedService, plainService)
	d.awaitServing()
	c := d.nodes[0].daemon.control
	done := make(chan [2]clock.Time)
	c.do(func() {
		before := c.agent.LastRead()
		c.applyForwarded(&directoryUpdate{From: int64(c.applied), Records: []updateRecord{{Key: "note/a", Offset: int64(c.applied)}}})
		done <- [2]clock.Time{before, c.agent.LastRead()}
	})
	if got := <-done; got[0] != got[1] {
		t.Errorf("a forwarded update moved the time of the last read by %v", got[1].Sub(got[0]))
	}
}

// An update of an earlier era must be dropped: its offsets are lower than the applied
// one, but its records may be lost in this era. A record of a key that the newest
// records lack would otherwise come back.
func TestDirectoryUpdateOfEarlierEraIsDropped(t *testing.T) {
	t.Parallel()
	d := deployInEra(t, plainService)
	d.nodes[0].awaitUnkeyedServing(t)
	lost := fleet.Member{Instance: "lost", Incarnation: 1, Revision: 1, Addr: "127.0.0.1:1", Service: plainService}
	at, err := metastore.NewOffset(firstEra-1, 0)
	if err != nil {
		t.Fatal(err)
	}
	c := d.nodes[0].daemon.control
	known := make(chan bool)
	c.do(func() {
		c.applyForwarded(&directoryUpdate{From: int64(at), Records: []updateRecord{{Key: memberPrefix + lost.Instance, Value: lost.Encode(), Offset: int64(at)}}})
		known <- c.dir.Peer("lost") != nil
	})
	if <-known {
		t.Error("a record of an earlier era was applied")
	}
}

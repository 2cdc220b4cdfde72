package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// fleetOf starts an instance for each of n targets of the two services.
func fleetOf(t *testing.T, n int) *deployment {
	services := make([]string, n)
	for i := range services {
		services[i] = []string{keyedService, plainService}[i%2]
	}
	return deploy(t, services...)
}

func (n *testNode) read() metastore.Offset {
	return metastore.Offset(n.daemon.control.known.Load())
}

// In a large fleet, a record that is new in the directory is known to all
// daemons soon, and costs about as many reads as the root of their number.
func TestNewsCostsFewReadsInALargeFleet(t *testing.T) {
	t.Parallel()
	const size, records, patience = 20, 12, 700 * time.Millisecond
	d := fleetOf(t, size)
	d.nodes[0].serves(t)
	time.Sleep(startTime)
	before, end := d.store.Calls(platformtest.ReadPath), d.nodes[0].read()
	for i := range records {
		d.store.Put(platform.KeyedTopic(directoryTopic), fmt.Sprint("note/", i), []byte("x"))
		late := time.Now().Add(patience)
		for _, n := range d.nodes {
			for n.read() <= end && time.Now().Before(late) {
				time.Sleep(2 * time.Millisecond)
			}
			if n.read() <= end {
				t.Errorf("%s does not know record %d after %v", n.settings.Instance, i, patience)
			}
		}
		end = d.nodes[0].read()
	}
	// Three read each record, and each daemon reads a little on its own.
	if calls := d.store.Calls(platformtest.ReadPath) - before; calls > records*4+2*size {
		t.Errorf("%d reads for %d records in a fleet of %d", calls, records, size)
	}
}

// Daemons whose reader is lost see that others are ahead, and read.
func TestNewsReachesAllWithoutTheirReader(t *testing.T) {
	t.Parallel()
	const size = 20
	d := fleetOf(t, size)
	d.nodes[0].serves(t)
	time.Sleep(startTime)
	lost := d.nodes[0] // the first names read
	lost.daemon.server.Close()
	lost.daemon.links.Close()
	end := d.nodes[1].read()
	for i := range 3 {
		d.store.Put(platform.KeyedTopic(directoryTopic), fmt.Sprint("note/", i), []byte("x"))
	}
	for _, n := range d.nodes[1:] {
		eventually(t, "the records are known", func() bool { return n.read() >= end+3 })
	}
}

// News that doesn't follow what a daemon has read is left to a read of its own:
// the records between would never come.
func TestNewsWithAGapIsNotTaken(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService)
	d.nodes[0].serves(t)
	c := d.nodes[0].daemon.control
	done := make(chan [2]metastore.Offset)
	c.do(func() {
		start := c.read
		c.takeNews(&newsCall{From: int64(start) + 1, Records: []newsRecord{{Key: "note/a", Offset: int64(start) + 1}}})
		gap := c.read - start
		c.takeNews(&newsCall{From: int64(start) - 1, Records: []newsRecord{{Key: "note/b", Offset: int64(start) - 1}, {Key: "note/a", Offset: int64(start)}}})
		done <- [2]metastore.Offset{gap, c.read - start}
	})
	if got := <-done; got != [2]metastore.Offset{0, 1} {
		t.Errorf("the directory is known %d further after a gap and %d after what follows, want 0 and 1", got[0], got[1])
	}
}

// News is no proof that the store still knows this daemon: its lease is
// confirmed by reads and promises only.
func TestNewsConfirmsNoLease(t *testing.T) {
	t.Parallel()
	d := deploy(t, keyedService, plainService)
	d.serving()
	c := d.nodes[0].daemon.control
	done := make(chan [2]clock.Time)
	c.do(func() {
		before := c.agent.LastRead()
		c.takeNews(&newsCall{From: int64(c.read), Records: []newsRecord{{Key: "note/a", Offset: int64(c.read)}}})
		done <- [2]clock.Time{before, c.agent.LastRead()}
	})
	if got := <-done; got[0] != got[1] {
		t.Errorf("news moved the last read by %v", got[1].Sub(got[0]))
	}
}

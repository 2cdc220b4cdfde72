package sidecar

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

const (
	firstEra = 3
	awayTime = 700 * time.Millisecond
)

// awaitEra waits until all daemons have read the directory in the era.
func (d *deployment) awaitEra(era int64) {
	d.t.Helper()
	for _, n := range d.nodes {
		eventually(d.t, fmt.Sprintf("%s reads era %d", n.settings.Instance, era), func() bool { return int64(n.applied().Era()) == era })
	}
}

// watchRoute calls a route of the newest configuration through nodes until the
// returned function is called, which reports the first answer that only an older
// configuration explains.
func (d *deployment) watchRoute(path string, nodes ...*testNode) (stop func() string) {
	var done atomic.Bool
	var wg sync.WaitGroup
	found := make(chan string, len(nodes))
	for _, n := range nodes {
		wg.Go(func() {
			for !done.Load() {
				if a := n.call(http.MethodPost, path, newID(), platformtest.NoKey); a.Status == http.StatusNotFound {
					found <- fmt.Sprintf("%s answers 404 for a route of the newest configuration", n.settings.Instance)
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() string {
		done.Store(true)
		wg.Wait()
		select {
		case s := <-found:
			return s
		default:
			return ""
		}
	}
}

// awaitRoute waits until all nodes route a path.
func (d *deployment) awaitRoute(path string) {
	d.t.Helper()
	for _, n := range d.nodes {
		eventually(d.t, "the new route is served", func() bool { return n.call(http.MethodPost, path, newID(), platformtest.NoKey).Status == http.StatusOK })
	}
}

// A long poll can span the replacement of the store and return records that stand at
// offsets which the daemon has read before. It must not take the older configuration
// in them, and must find the newer one when it is written again.
func TestConfigurationDoesNotGoBack(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService, plainService)
	d.configure("/lost/")
	d.awaitRoute("/lost/a")
	d.store.GoBack(platformtest.Drill{Records: 1})
	d.configure("/new/") // at the offset of the lost version
	d.awaitRoute("/new/a")
	stop := d.watchRoute("/new/a", d.nodes...)
	d.store.WriteAgain() // the lost version, after the newest one
	d.configure("/new/")
	for _, n := range d.nodes {
		eventually(t, "the last version is in use", func() bool { return n.configuration() == uint64(d.version) })
	}
	d.awaitEra(firstEra + 1)
	if s := stop(); s != "" {
		t.Error(s)
	}
}

// configuration returns the version that the daemon uses.
func (n *testNode) configuration() uint64 {
	version := make(chan uint64, 1)
	n.daemon.control.do(func() { version <- n.daemon.control.configVersion() })
	return <-version
}

// Nothing but the newest records of each key says what a store in a later era
// contains. Its records have offsets that were assigned before, so a follower that
// compares positions would pass them over, and a daemon whose record was lost would
// stay unknown to those that start later.
func TestMembersOfLostRecordsRegisterAgain(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService, plainService)
	d.nodes[0].awaitUnkeyedServing(t)
	d.nodes[1].awaitUnkeyedServing(t)
	d.store.GoBack(platformtest.Drill{Age: time.Minute, Away: awayTime})
	late := d.newNode(2, plainService)
	d.nodes = append(d.nodes, late)
	late.start(t)
	if err := late.target.Start(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the new daemon knows the others", func() bool {
		known := make(chan int, 1)
		late.daemon.control.do(func() { known <- len(late.daemon.control.dir.Peers()) })
		return <-known == 2
	})
	d.store.WriteAgain()
	late.awaitUnkeyedServing(t)
}

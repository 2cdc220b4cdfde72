package sidecar

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
	"github.com/parsleystack/parsleystack/standin/tcprelay"
)

const (
	// configApplyTime is the time after the store's acknowledgement within which a
	// configuration must be in force.
	configApplyTime = 2 * time.Second
	// stableWindow is the time after a fault after which this bound holds again.
	stableWindow = 3 * time.Second
)

// relayed is a deployment whose connections to the store and between daemons pass
// through relays.
type relayed struct {
	*deployment
	toStore []*tcprelay.Relay // by node
	toNode  []*tcprelay.Relay // by node: links that other daemons open to it
}

func deployRelayed(t *testing.T, services ...string) *relayed {
	t.Helper()
	r := new(relayed)
	listen := func(addr, server string) *tcprelay.Relay {
		relay, err := tcprelay.Listen(addr, server)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(relay.Close)
		return relay
	}
	r.deployment = deployWith(t, func(n *testNode) {
		store := listen("127.0.0.1:0", n.settings.Store.Addr)
		link := listen(n.settings.IP.String()+":7014", n.settings.LinkAddr)
		n.settings.Store.Addr, n.settings.AnnounceAddr = store.Addr(), link.Addr()
		r.toStore, r.toNode = append(r.toStore, store), append(r.toNode, link)
	}, services...)
	return r
}

// checkAppliedInTime publishes a configuration with another route and checks that
// every node serves it and refuses the route that was removed, once the bound has
// passed for a fault that was injected at the time fault.
func (r *relayed) checkAppliedInTime(fault time.Time, added, removed string) {
	r.t.Helper()
	r.configure(added)
	due := time.Now().Add(configApplyTime)
	if stable := fault.Add(stableWindow); stable.After(due) {
		due = stable
	}
	time.Sleep(time.Until(due)) // the bound that the users' pages state
	var wg sync.WaitGroup
	for i, n := range r.nodes {
		wg.Go(func() {
			if a := n.call(http.MethodPost, added+"a", newID(), platformtest.NoKey); a.Status != http.StatusOK {
				r.t.Errorf("node %d: the added route is answered with %d %v", i, a.Status, a.Err)
			}
			if a := n.call(http.MethodPost, removed+"a", newID(), platformtest.NoKey); a.Status == http.StatusOK {
				r.t.Errorf("node %d: the removed route is still served", i)
			}
		})
	}
	wg.Wait()
}

// The connections to the store, and in some cases those between daemons, go silent
// without a reset right before a configuration is acknowledged. New connections work.
func TestConfigurationIsAppliedWhileOpenConnectionsAreSilent(t *testing.T) {
	t.Parallel()
	const nodes = 5
	all := []int{0, 1, 2, 3, 4}
	for name, c := range map[string]struct {
		store, links  []int // nodes whose connections go silent
		direction     tcprelay.Direction
		neverAnswered []int // nodes whose new connections to the store are silent, too
	}{
		"store":                                 {store: all, direction: tcprelay.Both},
		"store's answers":                       {store: all, direction: tcprelay.ToClient},
		"store of some":                         {store: []int{0, 2, 3}, direction: tcprelay.Both},
		"store and links":                       {store: all, links: all, direction: tcprelay.Both},
		"links":                                 {links: all, direction: tcprelay.Both},
		"store, new connections of one":         {store: all, direction: tcprelay.Both, neverAnswered: []int{1}},
		"store and links, and one for good":     {store: all, links: all, direction: tcprelay.Both, neverAnswered: []int{4}},
		"links' answers, one without the store": {store: []int{1}, links: all, direction: tcprelay.ToClient, neverAnswered: []int{1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			services := []string{keyedService, keyedService, plainService, plainService, plainService}
			r := deployRelayed(t, services[:nodes]...)
			r.configure("/first/")
			r.awaitServing()
			for i, n := range r.nodes {
				eventually(t, fmt.Sprintf("node %d serves the first added route", i), func() bool {
					return n.call(http.MethodPost, "/first/a", newID(), platformtest.NoKey).Status == http.StatusOK
				})
			}
			fault := time.Now()
			for _, i := range c.neverAnswered {
				r.toStore[i].SilenceNew(c.direction)
			}
			for _, i := range c.store {
				r.toStore[i].Silence(c.direction)
			}
			for _, i := range c.links {
				r.toNode[i].Silence(c.direction)
			}
			r.checkAppliedInTime(fault, "/second/", "/first/")
			r.checkAppliedInTime(fault, "/third/", "/second/")
		})
	}
}

// A long poll must not stay on a silent connection until its time has passed, even if
// all other calls use connections that work.
func TestLongPollContinuesAfterItsConnectionWentSilent(t *testing.T) {
	t.Parallel()
	r := deployRelayed(t, plainService)
	n := r.nodes[0]
	n.awaitUnkeyedServing(t)
	for _, route := range []string{"/first/", "/second/"} {
		polled := n.daemon.configurationPolled.next.Load()
		r.toStore[0].Silence(tcprelay.Both)
		r.configure(route)
		eventually(t, "the poll returns the configuration with "+route, func() bool { return n.daemon.configurationPolled.next.Load() > polled })
	}
}

// The answers of all links between daemons are lost, while statuses pass. A daemon
// without the store must still fetch the configuration from another one.
func TestConfigurationIsFetchedWhileAnswersOfLinksAreLost(t *testing.T) {
	t.Parallel()
	r := deployRelayed(t, plainService, plainService, plainService)
	r.configure("/first/")
	for _, n := range r.nodes {
		n.awaitUnkeyedServing(t)
		n.awaitPeers(t, len(r.nodes)-1)
	}
	r.toStore[1].SilenceNew(tcprelay.Both)
	r.toStore[1].Silence(tcprelay.Both)
	for _, links := range r.toNode {
		links.Silence(tcprelay.ToClient)
	}
	r.configure("/second/")
	time.Sleep(stableWindow) // the bound that the users' pages state
	if got := int(r.nodes[1].daemon.control.view.Load().routes.Version()); got != r.version {
		t.Errorf("version %d is in force, want %d", got, r.version)
	}
}

// The connections of most daemons to the store go silent, and
// 4.5 s later a configuration changes and a target leaves. Both must take effect in time.
func TestChangesTakeEffectAfterStoreConnectionsWentSilent(t *testing.T) {
	t.Parallel()
	r := deployRelayed(t, keyedService, keyedService, plainService, plainService, plainService)
	r.configure("/first/")
	r.awaitServing()
	for _, i := range []int{0, 1, 2} {
		r.toStore[i].Silence(tcprelay.Both)
	}
	fault := time.Now()
	time.Sleep(4500 * time.Millisecond)
	leaving := r.nodes[2].target
	leaving.Drain()
	if err := leaving.SendHeartbeat(); err != nil {
		t.Fatalf("the departure is not acknowledged: %v", err)
	}
	acknowledged := time.Now()
	r.checkAppliedInTime(fault, "/second/", "/first/")
	time.Sleep(time.Until(acknowledged.Add(r.nodes[2].settings.DrainTime)))
	sent := make(map[string]bool)
	for range 20 {
		for i, n := range r.nodes {
			id := newID()
			sent[id] = true
			if a := n.call(http.MethodPost, "/book/a", id, platformtest.NoKey); a.Status != http.StatusOK {
				t.Errorf("node %d: %d %v after one of three targets has left", i, a.Status, a.Err)
			}
		}
	}
	for _, a := range r.records.Arrivals() {
		if a.Target == leaving.ID && sent[a.RequestID] {
			t.Errorf("%s reached the target %v after its departure was acknowledged", a.RequestID, a.At.Sub(acknowledged))
		}
	}
}

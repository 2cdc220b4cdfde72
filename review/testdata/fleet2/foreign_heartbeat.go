package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

var routes = []platformtest.Route{
	{Prefix: "/view/", Idempotent: true, Service: "reports", TimeoutMS: 800, LatencyMS: 300},
	{Prefix: "/book/", Service: "bookings", TimeoutMS: 1000, LatencyMS: 400},
	{Prefix: "/pay/", Service: "payments", TimeoutMS: 500, LatencyMS: 200},
}

// of returns the backends of a service.
func (f *fleet) of(service string) []*target {
	var list []*target
	for _, n := range f.nodes {
		if n.service == service {
			list = append(list, n.target)
		}
	}
	return list
}

// foreignHeartbeat sends one heartbeat of another writer, in which fields are missing, to the
// daemon of a backend that holds keys. It names no backend to use, so the others hold.
func foreignHeartbeat(f *fleet, trouble bool) (broken bool, err error) {
	f.store.Configure(1, host, routes, "reports")
	if err := f.start(); err != nil {
		return false, err
	}
	reports := f.of("reports")
	if err := f.await("all keys are held", 20*time.Second, func() bool { return allHeld(reports) }); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := f.keyedLoad(ctx, 30, "/view/x")
	time.Sleep(25 * time.Second) // more than 20 s after the start, all in touch
	watch := watchOwners(reports)
	n := f.nodes[0]
	if err := f.await("a heartbeat of "+n.target.id+" was acknowledged just now", 3*time.Second, func() bool {
		return time.Since(n.target.acknowledgedAt()) < 50*time.Millisecond
	}); err != nil {
		return false, err
	}
	if trouble {
		if err := f.sendForeign(n); err != nil {
			return false, err
		}
	}
	time.Sleep(12 * time.Second)
	keys, longest, pair := watch.end()
	cancel()
	load.Wait()
	f.rec.say("keys that two backends held for over %v: %d; longest %v, %s and %s", ownerLimit, keys, longest, pair[0], pair[1])
	now := time.Now()
	for _, t := range reports {
		f.rec.say("at the end %s holds %d rows", t.id, len(t.held(now)))
	}
	return keys > 0, nil
}

// sendForeign sends a heartbeat without version, zone, time of the cold start and lists of keys.
func (f *fleet) sendForeign(n *node) error {
	body, err := json.Marshal(foreignMessage(n.target.addr, time.Now().UnixMilli(), n.service, n.target.slots, "draining", 1))
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+n.addr(controlPort)+platformtest.InstancesPath+"i-foreign", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // it is read below
	text, err := io.ReadAll(resp.Body)
	f.rec.say("heartbeat of another writer: %s", body)
	f.rec.say("it is answered with %d %s", resp.StatusCode, text)
	return err
}

package daemon

import (
	"context"
	"fmt"
	"testing"

	"github.com/parsleystack/parsleystack/admin"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

func TestRequestsReachTheOwnerThroughEveryDaemon(t *testing.T) {
	d := startDeployment(t, 3)
	if got := d.do(0, "GET", "/reports/house/page", ""); got.outcome != "not-run" {
		t.Errorf("before the configuration is published: %+v", got)
	}
	d.publish()
	d.waitServed(0, 1, 2)
	for key := range 24 {
		first := d.do(0, "GET", fmt.Sprintf("/reports/house-%d/page", key), "")
		if first.status != 200 || first.outcome != "done" {
			t.Fatalf("key %d: %+v", key, first)
		}
		for i := 1; i < 3; i++ {
			if got := d.do(i, "POST", fmt.Sprintf("/reports/house-%d/booking", key), fmt.Sprint("once-", key)); got.outcome != "done" {
				t.Errorf("key %d through daemon %d: %+v", key, i, got)
			}
		}
	}
	posts := 0
	for _, tgt := range d.targets {
		for _, r := range tgt.Runs() {
			if r.Method == "POST" {
				posts++
			}
		}
	}
	if posts != 24 {
		t.Errorf("24 POST requests, each sent twice with its idempotency key, ran %d times", posts)
	}
}

func TestDrainedDaemonHandsOverAndEnds(t *testing.T) {
	d := startDeployment(t, 3)
	d.publish()
	d.waitServed(0, 1, 2)
	backend := &backend{d: d.daemons[1]}
	if _, err := backend.Drain(context.Background(), &admin.DrainRequest{Operator: "anna"}); err != nil {
		t.Fatal(err)
	}
	if err := <-d.results[1]; err != nil {
		t.Errorf("Run of the drained daemon returned %v", err)
	}
	d.waitServed(0, 2)
	for key := range 24 {
		if got := d.do(0, "GET", fmt.Sprintf("/reports/house-%d/page", key), ""); got.outcome != "done" {
			t.Errorf("key %d after the drain: %+v", key, got)
		}
	}
}

func TestOwnershipAndRequestsGoOnWhileTheLogIsDown(t *testing.T) {
	d := startDeployment(t, 3)
	d.publish()
	d.waitServed(0, 1, 2)
	d.log.SetFaults(logtest.Faults{Outage: true})
	defer d.log.SetFaults(logtest.Faults{})
	for key := range 24 {
		if got := d.do(key%3, "GET", fmt.Sprintf("/reports/house-%d/page", key), ""); got.outcome != "done" {
			t.Errorf("key %d: %+v", key, got)
		}
	}
}

func TestStatusAndExplainNameTheOwner(t *testing.T) {
	d := startDeployment(t, 3)
	d.publish()
	d.waitServed(0, 1, 2)
	backend := &backend{d: d.daemons[0]}
	status, err := backend.Status(context.Background())
	if err != nil || len(status.Cells) != 1 || len(status.Cells[0].Members) != 3 {
		t.Fatalf("status %+v, error %v", status, err)
	}
	ex, err := backend.Explain(context.Background(), "reports", "house")
	if err != nil || ex.Owner == "" || ex.Token == "" {
		t.Fatalf("explanation %+v, error %v", ex, err)
	}
	if _, err := backend.Explain(context.Background(), "none", "house"); err == nil {
		t.Error("Explain returned no error for a service that is not in force")
	}
}

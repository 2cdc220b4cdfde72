package bench

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/standin/target"
)

// serveTarget serves a new target process at addr until stop is called.
func serveTarget(t *testing.T, addr string) (actual string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	tt := target.New(target.Config{Name: "t1"})
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = tt.Serve(listener)
	}()
	return listener.Addr().String(), func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = tt.Shutdown(ctx)
		_ = listener.Close()
		<-served
	}
}

func TestCollectorKeepsRunsOfALostProcess(t *testing.T) {
	addr, stop := serveTarget(t, "127.0.0.1:0")
	op := Op{Name: "booking", Method: "POST", Path: "/bookings/{key}", Timeout: time.Second}
	book := func(ids ...string) {
		for _, id := range ids {
			newCaller(addr, true, 10).call(&op, "k", id)
		}
	}
	c := NewCollector([]string{addr})
	book("a", "b")
	if err := c.Poll(); err != nil {
		t.Fatal(err)
	}
	if runs, complete := c.Runs(); len(runs) != 2 || !complete {
		t.Errorf("%d runs, complete %t, want 2 and complete", len(runs), complete)
	}
	stop()
	if err := c.Poll(); err == nil {
		t.Error("no error from a target that has stopped")
	}
	_, stop = serveTarget(t, addr)
	defer stop()
	book("c", "d", "e")
	if err := c.Finish(); err != nil {
		t.Fatal(err)
	}
	ids := ""
	runs, complete := c.Runs()
	for _, r := range runs {
		ids += r.ID
	}
	if ids != "abcde" || complete {
		t.Errorf("runs %q, complete %t, want abcde, and not complete after a restart", ids, complete)
	}
}

package sidecar

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// A conditional append whose answer is lost may have taken effect. If it were relayed
// by another daemon then, its condition would fail on its own record, and the append
// would be reported as rejected.
func TestConditionalAppendIsSentOnce(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService, plainService, keyedService)
	d.awaitServing()
	n := d.nodes[0]
	d.store.SetFault(platformtest.DropsAnswers, n.settings.Store.Addr)
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	daemon := n.daemon
	note := []metastore.Record{{Key: "note/a", Value: []byte("x")}}
	for tries := 0; ; tries++ {
		b, err := d.nodes[1].daemon.store.Newest(ctx, daemon.directory)
		if err != nil {
			t.Fatal(err)
		}
		_, err = daemon.store.AppendAt(ctx, daemon.directory, b.End, note)
		var condition *metastore.ConditionError
		if errors.As(err, &condition) && tries < 5 && !d.has(ctx, t, "note/a") {
			continue // another writer was faster
		}
		if !errors.Is(err, metastore.ErrIndeterminate) {
			t.Fatalf("the append without an answer ends with %v", err)
		}
		return
	}
}

// has reports whether the directory has a record.
func (d *deployment) has(ctx context.Context, t *testing.T, key string) bool {
	t.Helper()
	b, err := d.nodes[1].daemon.store.Newest(ctx, d.nodes[1].daemon.directory)
	if err != nil {
		t.Fatal(err)
	}
	for i := range b.Records {
		if b.Records[i].Key == key {
			return true
		}
	}
	return false
}

// While the store refuses all daemons, each daemon may call it only a few times per
// second, however many calls are due.
func TestOutageIsMetWithFewCalls(t *testing.T) {
	t.Parallel()
	const outage = 4 * time.Second
	d := deploy(t, keyedService, keyedService, plainService)
	d.awaitServing()
	d.store.SetFault(platformtest.Unavailable)
	time.Sleep(time.Second) // the first failures
	before := d.store.AllCalls()
	time.Sleep(outage)
	calls := d.store.AllCalls() - before
	if most := len(d.nodes) * int(outage/directRetryInterval+2); calls > most {
		t.Errorf("%d calls in %v by %d daemons, %d wanted at most", calls, outage, len(d.nodes), most)
	}
	d.store.SetFault(platformtest.NoFault)
	back := time.Now()
	for _, n := range d.nodes {
		eventually(t, "the daemon reaches the store", func() bool { return !n.daemon.storeLink.avoidDirect() })
	}
	if took := time.Since(back); took > 2*time.Second {
		t.Errorf("the store's return was noticed after %v", took)
	}
}

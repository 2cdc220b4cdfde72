package probe_test

import (
	"os"
	"time"

	"github.com/parsleystack/parsleystack/probe"
)

// k1 belongs to the lost instance: its gap is the time until the key is served
// again. k2 belongs to another instance.
func ExampleWriteReport() {
	lost := time.Unix(100, 0)
	losses := []probe.Loss{{Time: lost, Instance: "reports-2", Role: "member", Log: "up"}}
	gaps := []probe.Gap{
		{Key: "k1", Start: lost, Length: 2 * time.Second, Before: "reports-2", After: "reports-1"},
		{Key: "k2", Start: lost, Length: 20 * time.Millisecond, Before: "reports-3", After: "reports-3"},
	}
	_ = probe.WriteReport(os.Stdout, probe.Effects(losses, gaps))
	// Output:
	// lost     log   losses     min ms  median ms     max ms    others ms
	// member   up         1       2000       2000       2000           20
}

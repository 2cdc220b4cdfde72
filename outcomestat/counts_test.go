package outcomestat

import (
	"bytes"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/parsleystack/parsleystack/outcome"
)

// TestReasonsOfNewerVersionsAreCounted guards against an index out of range
// when a peer of a newer version sends a reason or kind that is unknown here.
func TestReasonsOfNewerVersionsAreCounted(t *testing.T) {
	var c Counts
	c.Add(outcome.Result{Kind: outcome.NotRun, Reason: outcome.LastReason + 1})
	c.Add(outcome.Result{Kind: outcome.Unknown, Reason: 255})
	c.Add(outcome.Result{Kind: 77, Reason: outcome.ConnectionLost})
	if c.NotRun(200) != 1 || c.Unknown(200) != 1 || c.Unknown(outcome.ConnectionLost) != 1 {
		t.Errorf("not run %d, unknown %d and %d", c.NotRun(200), c.Unknown(200), c.Unknown(outcome.ConnectionLost))
	}
}

func TestEveryReasonIsPublishedOnce(t *testing.T) {
	var c Counts
	c.Add(outcome.Result{Kind: outcome.NotRun, Reason: outcome.Moving})
	set := metrics.NewSet()
	c.Register(set, "requests_total")
	var text bytes.Buffer
	set.WritePrometheus(&text)
	if !strings.Contains(text.String(), `requests_total{outcome="not-run",reason="moving"} 1`) {
		t.Errorf("metrics are\n%s", text.String())
	}
}

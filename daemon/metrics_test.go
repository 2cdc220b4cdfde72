package daemon

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/settings"
)

func newTestDaemon(t *testing.T) *Daemon {
	t.Helper()
	s, err := settings.Load("../deploy/perizia/daemons/reports-1.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return New(s, nil, zap.NewNop())
}

// Only the leader counts changes. A deputy still tracks the assignments, so that
// the ranges that move when it takes over are counted.
func TestMetricsOfACellAreCountedByItsLeader(t *testing.T) {
	m := newTestDaemon(t).metrics
	view := func(leader string, owners ...string) *cell.View {
		return &cell.View{
			Self:        testNode("a"),
			Leader:      testNode(leader),
			Deputy:      testNode("a"),
			Members:     testMembers("a", "b"),
			Assignments: assigned(owners...),
		}
	}
	m.changed(view("b", "b", "b"), clock.Time(time.Second))
	m.changed(view("b", "a", "b"), clock.Time(2*time.Second))
	if moved, ratio := m.moved.Get(), m.ranges.Get(); moved != 0 || ratio != 0 {
		t.Errorf("deputy: %d ranges moved, imbalance %v, want none", moved, ratio)
	}
	m.changed(view("a", "a", ""), clock.Time(3*time.Second))
	m.changed(view("a", "a", "a"), clock.Time(5*time.Second))
	if moved, ratio, wait := m.moved.Get(), m.ranges.Get(), m.unowned.Get(); moved != 1 || ratio != 2 || wait != 2 {
		t.Errorf("leader: %d ranges moved, imbalance %v, %v range-seconds without owner, want 1, 2 and 2", moved, ratio, wait)
	}
}

// The exposition must have no TYPE lines: counters read by callbacks would be
// exposed as gauges. Without them a collector takes the type from the query;
// names that end in _total are monotonic.
func TestMetricsHaveNoTypeLines(t *testing.T) {
	var text strings.Builder
	newTestDaemon(t).metrics.set.WritePrometheus(&text)
	if strings.Contains(text.String(), "# TYPE") {
		t.Error("the exposition has TYPE lines; counters read by callbacks would be exposed as gauges")
	}
}

var metricName = regexp.MustCompile(`parsley_[a-z_]+`)

// Guards against metrics that are missing from the operators' page, and against
// metrics on the page that no longer exist.
func TestPageListsEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	newTestDaemon(t).metrics.set.WritePrometheus(&text)
	exposed, listed := metricNames(text.String()), metricNames(string(page))
	for _, name := range exposed {
		if !slices.Contains(listed, name) {
			t.Errorf("docs/operators/metrics.md does not list %s", name)
		}
	}
	for _, name := range listed {
		if !slices.Contains(exposed, name) {
			t.Errorf("docs/operators/metrics.md lists %s, which the daemon does not expose", name)
		}
	}
}

func metricNames(text string) []string {
	names := metricName.FindAllString(text, -1)
	slices.Sort(names)
	return slices.Compact(names)
}

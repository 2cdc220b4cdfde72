package daemon

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
)

func TestUnownedTimeCountsRangesWithoutOwner(t *testing.T) {
	leads := func(activating bool, owners ...string) cell.View {
		return cell.View{Self: testNode("a"), Leader: testNode("a"), Activating: activating, Assignments: assigned(owners...)}
	}
	follows := leads(false, "", "")
	follows.Leader = testNode("b")
	steps := []struct {
		name string
		at   time.Duration
		view cell.View
		want time.Duration
	}{
		{"becomes leader", time.Second, leads(false, "a", "a"), 0},
		{"all had owners; one loses its own", 2 * time.Second, leads(false, "a", ""), 0},
		{"one had none for 1 s", 3 * time.Second, leads(false, "a", "b"), time.Second},
		{"both have one", 5 * time.Second, leads(true, "a", "b"), 0},
		{"waited 2 s with both", 7 * time.Second, follows, 4 * time.Second},
		{"another leads", 9 * time.Second, leads(false, "a", "b"), 0},
	}
	var u unowned
	for _, step := range steps {
		if got := u.step(&step.view, clock.Time(step.at)); got != step.want {
			t.Errorf("%s: %v, want %v", step.name, got, step.want)
		}
	}
}

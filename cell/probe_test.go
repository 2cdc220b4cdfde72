package cell

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// With a daemon's default settings an idle leader must not probe for another
// deputy: it would send a LeaderNotice to every member at each heartbeat. This
// happens if probeTimeout is shorter than the time between two heartbeat answers.
func TestIdleLeaderSendsNoLeaderNotice(t *testing.T) {
	s := defaultCell(t, 4)
	notices := 0
	s.drop = func(_, _ ident.Instance, m Message) bool {
		if m.LeaderNotice != nil {
			notices++
		}
		return false
	}
	s.run(20 * time.Second)
	if notices > 0 {
		t.Errorf("the idle leader sent %d LeaderNotice messages", notices)
	}
}

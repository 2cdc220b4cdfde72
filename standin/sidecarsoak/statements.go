package sidecarsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

const (
	// maxStatementTime is the longest time for which a target states a limit, and the time
	// between a departure that it states and its end.
	maxStatementTime = 14 * time.Second
	// maxStatementPause is the longest pause between two changes of statements.
	maxStatementPause = 3 * time.Second
)

// statedLimits are the limits that targets state, in requests a second. Without a limit a
// target gets about 20.
var statedLimits = []string{"0", "0.3", "2.5", "5", "12", "1e400", "many", "-1"}

// statements makes targets state limits and departures in their responses, several at a
// time.
type statements struct {
	d      *deployment
	random *rand.Rand
	log    io.Writer
	start  time.Time
	ends   map[int]time.Time // by target, when its statement ends
	leaves map[int]bool
}

// run changes statements until ctx ends, and then withdraws them.
func (s *statements) run(ctx context.Context) {
	s.ends, s.leaves = make(map[int]time.Time), make(map[int]bool)
	for ctx.Err() == nil {
		pause(ctx, time.Duration(s.random.Int64N(int64(maxStatementPause))))
		for i, end := range s.ends {
			if !time.Now().Before(end) {
				s.withdraw(i)
			}
		}
		i := s.random.IntN(len(s.d.instances))
		if !s.leaves[i] {
			s.begin(i, time.Duration(s.random.Int64N(int64(maxStatementTime))))
		}
	}
	for i := range s.ends {
		s.withdraw(i)
	}
}

// begin makes a target state something for some time. Of five statements, four are limits.
func (s *statements) begin(i int, length time.Duration) {
	stated := platformtest.Statement{Limit: statedLimits[s.random.IntN(len(statedLimits))]}
	if s.random.IntN(5) == 0 {
		stated = platformtest.Statement{Leaving: true}
		length = max(length, maxStatementTime/2) // so that the departure binds before the end
		s.leaves[i] = true
	}
	s.ends[i] = time.Now().Add(length)
	s.state(i, stated)
}

// withdraw ends the statement of a target. One that leaves ends, and another one starts.
func (s *statements) withdraw(i int) {
	s.state(i, platformtest.Statement{})
	if s.leaves[i] {
		if err := s.d.signal(s.d.instances[i], "target", syscall.SIGKILL); err != nil {
			_, _ = fmt.Fprintf(s.log, "end of the target of %s: %v\n", s.d.instances[i].name, err)
		}
	}
	delete(s.ends, i)
	delete(s.leaves, i)
}

func (s *statements) state(i int, stated platformtest.Statement) {
	n := s.d.instances[i]
	_, _ = fmt.Fprintf(s.log, "%7.2f target of %s states %+v\n", time.Since(s.start).Seconds(), n.name, stated)
	if err := stated.WriteFile(s.d.statementFile(n)); err != nil {
		_, _ = fmt.Fprintf(s.log, "statement of the target of %s: %v\n", n.name, err)
	}
}

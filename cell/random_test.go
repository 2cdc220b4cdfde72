package cell

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// randomRun runs a cell with random failures derived from the seed. The failures
// end 60 s before the run does, so that the cell can hold all ranges again.
func randomRun(t *testing.T, seed uint64, fault Fault) *sim {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := newSim(t, 0)
	incarnations := map[string]uint64{}
	names := []string{"t1", "t2", "t3", "t4", "t5"}[:2+rng.IntN(4)]
	start := func(name string) {
		incarnations[name]++
		cfg := testConfig(name, incarnations[name])
		cfg.Fault = fault
		cfg.MaxLogStaleness = 20 * time.Second
		cfg.Seed = int64(seed)
		s.start(cfg).drift = int64(rng.IntN(2*int(cfg.DriftPPM)+1)) - cfg.DriftPPM
	}
	for _, name := range names {
		start(name)
	}
	s.run(5 * time.Second)
	cuts := map[[2]ident.Instance]bool{}
	logCuts := map[ident.Instance]bool{}
	s.cut = func(from, to ident.Instance) bool { return cuts[[2]ident.Instance{from, to}] }
	s.logCut = func(node ident.Instance) bool { return logCuts[node] }
	s.drop = func(_, _ ident.Instance, _ Message) bool { return rng.IntN(100) < 3 }
	s.copies = func() int {
		if rng.IntN(25) > 0 {
			return 1
		}
		return 2
	}
	s.delay = func(_ ident.Instance, _ Message) time.Duration {
		switch rng.IntN(25) {
		case 0:
			return time.Duration(rng.IntN(3000)) * time.Millisecond
		case 1, 2, 3:
			return time.Duration(rng.IntN(100)) * time.Millisecond
		}
		return 0
	}
	s.appendDelay = func() time.Duration {
		if rng.IntN(20) > 0 {
			return 0
		}
		return time.Duration(rng.IntN(8000)) * time.Millisecond
	}
	for i := 0; i < 25; i++ {
		p := s.proc(names[rng.IntN(len(names))])
		q := s.proc(names[rng.IntN(len(names))])
		switch rng.IntN(12) {
		case 0:
			s.kill(p)
		case 1:
			if !p.alive || p.left {
				s.kill(p)
				start(string(p.id.Instance))
			}
		case 2:
			p.frozen = true
		case 3, 4:
			if p.frozen {
				s.unfreeze(p)
			}
		case 5:
			cuts[[2]ident.Instance{p.id.Instance, q.id.Instance}] = true
		case 6:
			for _, name := range names {
				other := ident.Instance(name)
				cuts[[2]ident.Instance{p.id.Instance, other}] = other != q.id.Instance
				cuts[[2]ident.Instance{other, p.id.Instance}] = other != q.id.Instance
			}
		case 7:
			clear(cuts)
		case 8:
			s.logDown = !s.logDown
		case 9:
			logCuts[p.id.Instance] = !logCuts[p.id.Instance]
		case 10:
			s.losesAppendResponses = !s.losesAppendResponses
		case 11:
			if rng.IntN(3) == 0 {
				s.step(p, Leave{})
			}
		}
		s.run(time.Duration(rng.IntN(2500)) * time.Millisecond)
	}
	clear(cuts)
	clear(logCuts)
	s.logDown, s.losesAppendResponses, s.appendDelay, s.drop, s.delay, s.copies = false, false, nil, nil, nil, nil
	for _, name := range names {
		p := s.proc(name)
		if p.frozen {
			s.unfreeze(p)
		}
		if !p.alive || p.node.leaving {
			p.alive = false
			start(name)
		}
	}
	s.run(60 * time.Second)
	return s
}

func TestRandomFaultsKeepOneHolder(t *testing.T) {
	first, last := uint64(1), uint64(40)
	if n, err := strconv.ParseUint(os.Getenv("CELL_SEEDS"), 10, 64); err == nil {
		first, last = 1000, 1000+n
	}
	for seed := first; seed <= last; seed++ {
		s := randomRun(t, seed, FaultNone)
		if s.conflict != "" {
			t.Fatalf("seed %d: two holders: %s\n%s", seed, s.conflict, s.traceTail())
		}
		if !s.covered() {
			t.Fatalf("seed %d: not covered at the end\n%s", seed, s.traceTail())
		}
	}
}

func TestRandomFaultsFindBrokenRules(t *testing.T) {
	for _, fault := range []Fault{FaultGrantWithoutLeaderLease, FaultReassignBeforeExpiry, FaultTakeoverWithoutWait, FaultIgnoreDrift} {
		found := false
		for seed := uint64(1); seed <= 80 && !found; seed++ {
			found = randomRun(t, seed, fault).conflict != ""
		}
		if !found {
			t.Errorf("fault %d was not detected", fault)
		}
	}
}

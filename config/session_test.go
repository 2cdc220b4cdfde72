package config

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

var update = flag.Bool("update", false, "rewrite the golden files of the sessions in testdata")

// session records what operators and daemons see, as lines that are compared with
// a golden file.
type session struct {
	t     *testing.T
	log   *fakeLog
	now   clock.Time
	lines []string
}

func newSession(t *testing.T) *session {
	return &session{t: t, log: &fakeLog{}, now: clock.Time(time.Hour)}
}

func (s *session) printf(format string, a ...any) {
	s.lines = append(s.lines, fmt.Sprintf(format, a...))
}

func (s *session) compare(path string) {
	s.t.Helper()
	got := strings.Join(s.lines, "\n") + "\n"
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			s.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	if got != string(want) {
		s.t.Errorf("session is\n%swant\n%s", got, want)
	}
}

func (s *session) plan(p *Publisher, slots int) *Plan {
	plan, err := p.Plan(context.Background(), candidate("reports", slots), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	step := plan.Steps[0]
	s.printf("%s plans: %s %s based on version %d, slots %d", p.Author, step.Action, step.Service, step.ExpectedVersion, slots)
	return plan
}

func (s *session) publish(p *Publisher, plan *Plan) {
	results, err := p.Publish(context.Background(), plan)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, r := range results {
		s.printf("%s publishes: %s version %d %s", p.Author, r.Kind, r.Version, r.Error)
	}
}

// follow makes a daemon read the log up to its end and returns the last
// configuration that it put in force.
func (s *session) follow(name string, c *Core) *InForce {
	s.now = s.now.Add(time.Second)
	var last *InForce
	eff := c.Step(Tick{}, s.now)
	for range 10 {
		s.show(name, eff)
		if eff.InForce != nil {
			last = eff.InForce
		}
		if eff.Read == nil {
			break
		}
		s.printf("%s reads from %d", name, eff.Read.From)
		batch, err := s.log.Read(context.Background(), Stream, eff.Read.From, eff.Read.Limit)
		eff = c.Step(readEvent(*eff.Read, batch, err), s.now)
	}
	return last
}

func (s *session) show(name string, eff Effects) {
	for _, v := range eff.Verdicts {
		s.printf("%s: record %d is %v", name, v.Offset, v.Outcome)
	}
	if eff.Fault != nil {
		s.printf("%s: fault: %v", name, eff.Fault)
	}
	if eff.Pull != nil {
		s.printf("%s pulls from %v from offset %d on", name, eff.Pull.Peer, eff.Pull.Pull.From)
	}
	if f := eff.InForce; f != nil {
		s.printf("%s has offset %d in force, ready %v:%s", name, f.Offset, f.Ready, servicesText(f))
	}
}

func servicesText(f *InForce) string {
	text := ""
	for _, name := range f.Services() {
		svc := f.Service(name)
		text += fmt.Sprintf(" %s version %d by %s with %d slots", name, svc.Version, svc.Author, svc.Spec.Slots)
	}
	return text
}

func sessionPublisher(log platformlog.Log, author string, nonce uint64) *Publisher {
	p := newPublisher(log)
	p.Author = author
	p.Nonce = func() uint64 { nonce++; return nonce }
	return p
}

func TestSessionConflict(t *testing.T) {
	s := newSession(t)
	anna, berta := sessionPublisher(s.log, "anna", 100), sessionPublisher(s.log, "berta", 200)
	first, second := NewCore(DefaultParameters(time.Hour)), NewCore(DefaultParameters(time.Hour))
	s.publish(anna, s.plan(anna, 10))
	s.follow("daemon 1", first)
	plans := []*Plan{s.plan(anna, 20), s.plan(berta, 30)}
	s.log.behaviors = []appendBehavior{responseLost}
	s.publish(berta, plans[1])
	s.publish(anna, plans[0])
	s.printf("a delayed append of a change of anna takes effect")
	s.log.appendRecord(publishPayload(t, "reports", 20, 1, "anna", 150))
	s.publish(anna, s.plan(anna, 40))
	s.follow("daemon 1", first)
	s.follow("daemon 2", second)
	s.compare("testdata/sessions/conflict.txt")
}

func TestSessionStartFromASnapshot(t *testing.T) {
	s := newSession(t)
	anna := sessionPublisher(s.log, "anna", 100)
	params := DefaultParameters(time.Hour)
	params.SnapshotJitter = 0
	old := NewCore(params)
	s.publish(anna, s.plan(anna, 10))
	s.publish(anna, s.plan(anna, 20))
	last := s.follow("old daemon", old)
	s.now = s.now.Add(2 * time.Hour)
	eff := old.Step(LogRead{From: 3, Batch: platformlog.Batch{Next: 3}, Wall: int64(2 * time.Hour)}, s.now)
	s.printf("two hours later the old daemon appends a snapshot: %v", eff.AppendSnapshot != nil)
	s.publish(anna, s.plan(anna, 30))
	s.log.appendRecord(eff.AppendSnapshot)
	s.publish(anna, s.plan(anna, 40))
	s.printf("records 1 and 2 expire")
	s.log.truncated = 2
	s.follow("new daemon", NewCore(params))
	s.printf("records up to 5 expire, including the snapshot")
	s.log.truncated = 5
	late := NewCore(params)
	s.follow("late daemon", late)
	peer := ident.Node{Instance: "old-daemon", Incarnation: 1}
	s.show("late daemon", late.Step(Peers{Nodes: []ident.Node{peer}}, s.now))
	s.printf("the old daemon answers with its state at offset %d", last.Offset)
	s.show("late daemon", late.Step(Pulled{Peer: peer, Answer: last.Answer(Pull{From: 1})}, s.now))
	s.compare("testdata/sessions/start-from-snapshot.txt")
}

// Command standin-platform-target is a stand-in for a target on the users' platform:
// it sends heartbeats to the daemon beside it and serves requests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

type args struct {
	Name      string        `arg:"--name,required" help:"name of the instance; each start gets an ID of its own"`
	Service   string        `arg:"--service,required"`
	Zone      string        `arg:"--zone,required"`
	Listen    string        `arg:"--listen,required" placeholder:"IP:PORT"`
	Control   string        `arg:"--control,required" placeholder:"IP:PORT" help:"address for heartbeats"`
	Keyed     bool          `arg:"--keyed" help:"serve only keys that are granted"`
	Slots     int           `arg:"--slots" default:"18"`
	Heartbeat time.Duration `arg:"--heartbeat" default:"870ms"`
	Work      time.Duration `arg:"--work" default:"20ms" help:"processing time of a request"`
	Runs      string        `arg:"--runs,required" placeholder:"FILE" help:"file to which each run is appended"`
	Arrivals  string        `arg:"--arrivals,required" placeholder:"FILE" help:"file to which each request that arrives is appended"`
	Grants    string        `arg:"--grants" placeholder:"FILE" help:"file to which the ranges that it holds are appended"`
	Statement string        `arg:"--statement" placeholder:"FILE" help:"file with what it states about itself, read again every 20 ms"`
	Behavior  string        `arg:"--behavior" placeholder:"FILE" help:"file with what it does besides serving, read again every 20 ms"`
}

// statementInterval is the time between two reads of the statement and the behavior.
const statementInterval = 20 * time.Millisecond

// crashCode is the exit code of a target that a request has crashed.
const crashCode = 3

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform-target:", err)
		os.Exit(1)
	}
}

func run(a args) error {
	file, err := openLines(a.Runs)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // each line was written on its own
	arrivals, err := openLines(a.Arrivals)
	if err != nil {
		return err
	}
	defer func() { _ = arrivals.Close() }() // as above
	var holdings *platformtest.Holdings
	if a.Grants != "" {
		grants, err := openLines(a.Grants)
		if err != nil {
			return err
		}
		defer func() { _ = grants.Close() }() // as above
		holdings = &platformtest.Holdings{Sink: grants}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	t := &platformtest.Target{
		ID: fmt.Sprintf("%s-%d", a.Name, time.Now().UnixNano()), Service: a.Service, Zone: a.Zone, Addr: a.Listen, Control: a.Control, Keyed: a.Keyed,
		Slots: a.Slots, ProcessingTime: a.Work, HeartbeatInterval: a.Heartbeat, Records: &platformtest.Records{Sink: file, ArrivalSink: arrivals},
		Crash: &platformtest.Crash{Exit: func() { os.Exit(crashCode) }}, Holdings: holdings, RejectsSome: a.Keyed,
	}
	if err := t.Start(); err != nil {
		return err
	}
	follow(ctx, t, a)
	t.Stop()
	return nil
}

// openLines opens a file to which lines are appended.
func openLines(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
}

// follow makes the target state and do what its files have, until ctx ends.
func follow(ctx context.Context, t *platformtest.Target, a args) {
	ticker := time.NewTicker(statementInterval)
	defer ticker.Stop()
	for {
		s, err := platformtest.ReadStatement(a.Statement)
		if err != nil {
			fmt.Fprintln(os.Stderr, "standin-platform-target: statement:", err)
		} else {
			t.State(s)
		}
		b, err := platformtest.ReadBehavior(a.Behavior)
		if err == nil {
			err = t.Behave(b)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "standin-platform-target: behavior:", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

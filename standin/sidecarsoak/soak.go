package sidecarsoak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

const (
	// startupLimit is the time in which all daemons must serve after the start.
	startupLimit = 30 * time.Second
	// settleTime is the time between the start and the first fault, and between the
	// last fault and the end.
	settleTime = 8 * time.Second
)

// Options are the options of a soak.
type Options struct {
	Dir     string // empty directory for settings, process IDs and the targets' runs
	Network string // first three bytes of the loopback addresses, such as 127.90.1
	Seed    uint64
	Length  time.Duration
	Log     io.Writer
	// PassKnownRed counts the violations that KNOWN-RED.txt lists instead of failing.
	PassKnownRed bool
}

// Run runs a soak and returns the number of violations. The daemons and targets must be
// started once the directory has the file "ready", with the settings NAME.yaml and the
// announced addresses NAME.announce.
func Run(ctx context.Context, o Options) (violations int, err error) {
	d, err := newDeployment(o.Dir, o.Network)
	if err != nil {
		return 0, err
	}
	defer d.store.Close()
	random := rand.New(rand.NewPCG(o.Seed, 0))
	h := new(history)
	j := newJudge(h, len(d.instances))
	j.passKnownRed = o.PassKnownRed
	c := &callers{d: d, judge: j}
	op := &operator{store: d.store, history: h, callers: c, random: random}
	op.publish()
	if err := d.writeStartLines(); err != nil {
		return 0, err
	}
	if err := c.awaitServing(ctx); err != nil {
		return 0, err
	}
	f := &faults{d: d, judge: j, random: random, log: o.Log, start: time.Now()}
	load, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	for i := range d.instances {
		j.disturb(i, time.Now().Add(settleTime), false)
		for worker := range uint64(2) {
			all.Go(func() { c.run(load, i, rand.New(rand.NewPCG(o.Seed, uint64(i)<<8+worker))) })
		}
		all.Go(func() { c.probe(load, i, rand.New(rand.NewPCG(o.Seed, uint64(i)<<8+9))) })
		all.Go(func() { c.leave(load, i, rand.New(rand.NewPCG(o.Seed, uint64(i)<<8+10))) })
	}
	all.Go(func() {
		s := &statements{d: d, random: rand.New(rand.NewPCG(o.Seed, 1)), log: o.Log, start: f.start}
		s.run(load)
	})
	all.Go(func() { j.sendOddHeartbeats(load, d, rand.New(rand.NewPCG(o.Seed, 100))) })
	for series := range deadlySeries {
		all.Go(func() {
			x := &deadly{callers: c, random: rand.New(rand.NewPCG(o.Seed, uint64(2+series))), log: o.Log, start: f.start}
			x.run(load, series)
		})
	}
	interrupted, stopInterruptions := context.WithCancel(ctx)
	var interruptions sync.WaitGroup
	pause(ctx, settleTime)
	interruptions.Go(func() {
		x := &faults{d: d, judge: j, random: rand.New(rand.NewPCG(o.Seed, 101)), log: o.Log, start: f.start}
		x.interrupt(interrupted)
	})
	for end := time.Now().Add(o.Length); time.Now().Before(end) && ctx.Err() == nil; {
		next := time.Now().Add(roundTime)
		op.series(1+random.IntN(4), 300*time.Millisecond)
		var round sync.WaitGroup
		round.Go(func() { f.run(ctx) })
		op.series(2+random.IntN(8), 400*time.Millisecond)
		pause(ctx, time.Duration(random.Int64N(int64(3*time.Second))))
		op.series(1+random.IntN(3), 100*time.Millisecond)
		round.Wait()
		pause(ctx, time.Until(next))
	}
	stopInterruptions()
	interruptions.Wait()
	pause(ctx, settleTime)
	stop()
	all.Wait()
	runs, err := d.runs()
	if err != nil {
		return 0, err
	}
	j.checkRuns(runs)
	j.checkDeadly(runs)
	arrivals, err := d.arrivals()
	if err != nil {
		return 0, err
	}
	j.checkStatements(arrivals)
	j.checkDepartures(arrivals)
	j.checkLeft(arrivals)
	if err := j.checkHoldings(d); err != nil {
		return 0, err
	}
	if err := j.checkLogs(d); err != nil {
		return 0, err
	}
	text, violations := j.report()
	_, _ = fmt.Fprintf(o.Log, "%d versions, %d store calls\n%s", len(h.versions), d.store.AllCalls(), text)
	return violations, nil
}

// writeStartLines writes, for each instance, the arguments that the supervisor script
// starts its target and its daemon with, and then the file "ready".
func (d *deployment) writeStartLines() error {
	for _, n := range d.instances {
		target := fmt.Sprintf("--name %s --service %s --zone %s --listen %s --control %s --runs %s --arrivals %s --statement %s --behavior %s --grants %s", n.name, n.service, n.zone, n.addr(targetPort), n.addr(controlPort),
			filepath.Join(d.dir, n.name+".runs"), filepath.Join(d.dir, n.name+".arrivals"), d.statementFile(n), d.behaviorFile(n), filepath.Join(d.dir, n.name+".grants"))
		if n.service == keyedService {
			target += " --keyed"
		}
		daemon := fmt.Sprintf("--settings %s --announce %s", filepath.Join(d.dir, n.name+".yaml"), n.links.Addr())
		for name, line := range map[string]string{".target.args": target, ".daemon.args": daemon} {
			if err := os.WriteFile(filepath.Join(d.dir, n.name+name), []byte(line+"\n"), 0o600); err != nil {
				return err
			}
		}
	}
	return os.WriteFile(filepath.Join(d.dir, "ready"), nil, 0o600)
}

// awaitServing waits until all daemons serve all services.
func (c *callers) awaitServing(ctx context.Context) error {
	for end := time.Now().Add(startupLimit); ; pause(ctx, 100*time.Millisecond) {
		serving := 0
		for _, n := range c.d.instances {
			a := platformtest.Call(n.addr(callerPort), host, http.MethodGet, "/view/a", fmt.Sprintf("start-%d", c.lastID.Add(1)), 4096*int(c.lastID.Load()%16))
			if a.Status == http.StatusOK {
				serving++
			}
		}
		if serving == len(c.d.instances) {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("sidecarsoak: %d of %d daemons serve after %v; see the logs of the others", serving, len(c.d.instances), startupLimit)
		}
	}
}

// statementFile is the path of the file with what the target of an instance states.
func (d *deployment) statementFile(n *instance) string {
	return filepath.Join(d.dir, n.name+".statement")
}

// behaviorFile is the path of the file with what the target of an instance does.
func (d *deployment) behaviorFile(n *instance) string {
	return filepath.Join(d.dir, n.name+".behavior")
}

// runs reads what all targets have run, without the requests before the load.
func (d *deployment) runs() ([]platformtest.Run, error) {
	all, err := readLines[platformtest.Run](d, ".runs")
	return slices.DeleteFunc(all, func(r platformtest.Run) bool { return strings.HasPrefix(r.RequestID, "start-") }), err
}

// arrivals reads all requests that arrived at targets.
func (d *deployment) arrivals() ([]platformtest.Arrival, error) {
	return readLines[platformtest.Arrival](d, ".arrivals")
}

// readLines reads the lines of JSON in the files of all instances with an extension.
func readLines[T any](d *deployment, extension string) ([]T, error) {
	var all []T
	for _, n := range d.instances {
		lines, err := readLinesOf[T](d, n, extension)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// maxLine is the longest line in a file of an instance, in bytes.
const maxLine = 1 << 20

// readLinesOf reads the lines of JSON in the file of one instance with an extension.
func readLinesOf[T any](d *deployment, n *instance, extension string) ([]T, error) {
	file, err := os.Open(filepath.Join(d.dir, n.name+extension))
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
	var all []T
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var x T
		if json.Unmarshal(lines.Bytes(), &x) == nil { // a killed target may leave half a line
			all = append(all, x)
		}
	}
	return all, lines.Err()
}

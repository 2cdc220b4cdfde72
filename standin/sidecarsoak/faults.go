package sidecarsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
	"github.com/parsleystack/parsleystack/standin/tcprelay"
)

const (
	// maxFaultTime is the longest duration of one fault.
	maxFaultTime = 2500 * time.Millisecond
	// roundTime is the time between two rounds of faults. It leaves some seconds in
	// which the bounds hold again.
	roundTime = 11 * time.Second
	// maxFaults is the number of overlapping faults of a round.
	maxFaults = 4
	// startTime is allowed for the start of a daemon after its end.
	startTime = 2 * time.Second
	// graceTime is allowed for a planned stop.
	graceTime = 6 * time.Second
)

// faults injects faults in rounds.
type faults struct {
	d      *deployment
	judge  *judge
	random *rand.Rand
	log    io.Writer
	start  time.Time
}

// fault is one fault: the daemons that it concerns, its duration, and its effect.
type fault struct {
	name    string
	daemons []int // all if nil
	length  time.Duration
	restart bool // the daemons' processes end
	pauses  bool // the daemons' processes are stopped for a while
	begin   func()
	end     func() // nil if the fault ends by itself
}

// run injects one round: up to maxFaults overlapping faults. It returns when all have
// ended.
func (f *faults) run(ctx context.Context) {
	var all sync.WaitGroup
	for range 1 + f.random.IntN(maxFaults) {
		x := f.draw()
		delay := time.Duration(f.random.Int64N(int64(time.Second)))
		all.Go(func() {
			pause(ctx, delay)
			f.inject(ctx, x)
		})
	}
	all.Wait()
}

func (f *faults) inject(ctx context.Context, x fault) {
	_, _ = fmt.Fprintf(f.log, "%7.2f %s %v for %v\n", time.Since(f.start).Seconds(), x.name, x.daemons, x.length)
	disturb := func(until time.Time) {
		for i := range f.d.instances {
			if x.daemons == nil || contains(x.daemons, i) {
				f.judge.disturb(i, until, x.restart)
			}
		}
	}
	disturb(time.Now().Add(x.length))
	ended := make(chan struct{})
	var watchers sync.WaitGroup
	if x.restart {
		for _, i := range x.daemons {
			watchers.Go(func() { f.watchRestarts(i, ended) })
		}
	}
	x.begin()
	pause(ctx, x.length)
	if x.end != nil {
		x.end()
	}
	close(ended)
	watchers.Wait()
	disturb(time.Now())
	if x.pauses {
		for _, i := range x.daemons {
			f.judge.resume(i)
		}
	}
}

// restartPoll is the time between two checks for a new process. A daemon takes longer to
// start than that.
const restartPoll = 20 * time.Millisecond

// watchRestarts reports each new process of a daemon to the judge until the channel ended is
// closed.
func (f *faults) watchRestarts(daemon int, ended <-chan struct{}) {
	n := f.d.instances[daemon]
	last, _ := f.d.processID(n, "daemon") // 0 if it can't be read: the next one is new
	for {
		if pid, err := f.d.processID(n, "daemon"); err == nil && pid != last {
			last = pid
			f.judge.resume(daemon)
		}
		select {
		case <-ended:
			return
		case <-time.After(restartPoll):
		}
	}
}

const (
	// storeAway is the time without the store around a departure and a restart.
	storeAway = 4500 * time.Millisecond
	// departureToRestart is the time between them, in which the departure is acknowledged.
	departureToRestart = 700 * time.Millisecond
	// departedStay is how long a departed target goes on serving.
	departedStay = 14 * time.Second
)

// behave returns a function that makes the target of an instance behave in a way.
func (f *faults) behave(b platformtest.Behavior) func(*instance) {
	return func(n *instance) {
		if err := b.WriteFile(f.d.behaviorFile(n)); err != nil {
			_, _ = fmt.Fprintf(f.log, "behavior of the target of %s: %v\n", n.name, err)
		}
	}
}

// departAndRestart takes the store away, makes a target announce its departure, and ends its
// daemon a moment later. The target ends long after the store is back.
func (f *faults) departAndRestart(daemon int, signal func(string, syscall.Signal) func(*instance)) {
	n := f.d.instances[daemon]
	f.d.store.SetFault(platformtest.Unavailable)
	f.behave(platformtest.Behavior{Departs: true})(n)
	f.judge.disturb(daemon, time.Now().Add(storeAway+startTime), true)
	time.AfterFunc(departureToRestart, func() { signal("daemon", syscall.SIGKILL)(n) })
	time.AfterFunc(departureToRestart+startTime, func() { f.judge.resume(daemon) })
	time.AfterFunc(departedStay, func() {
		f.behave(platformtest.Behavior{})(n)
		signal("target", syscall.SIGKILL)(n)
	})
}

func contains(list []int, x int) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}

// some returns a random part of the daemons.
func (f *faults) some() []int { return f.random.Perm(len(f.d.instances))[:1+f.random.IntN(5)] }

func (f *faults) draw() fault {
	d := f.d
	length := time.Duration(f.random.Int64N(int64(maxFaultTime)))
	direction := []tcprelay.Direction{tcprelay.Both, tcprelay.ToServer, tcprelay.ToClient}[f.random.IntN(3)]
	all := f.random.Perm(len(d.instances))
	some := f.some()
	one := some[:1]
	each := func(list []int, do func(*instance)) func() {
		return func() {
			for _, i := range list {
				do(d.instances[i])
			}
		}
	}
	signal := func(what string, s syscall.Signal) func(*instance) {
		return func(n *instance) {
			if err := d.signal(n, what, s); err != nil {
				_, _ = fmt.Fprintf(f.log, "signal %v to the %s of %s: %v\n", s, what, n.name, err)
			}
		}
	}
	silentStore := func(n *instance) { n.store.Silence(direction) }
	silentLinks := func(n *instance) { n.links.Silence(direction) }
	storeFault := []platformtest.Fault{platformtest.Unavailable, platformtest.Hanging, platformtest.DropsAnswers}[f.random.IntN(3)]
	// Silent connections count as a disturbance of all daemons, faults of the store too.
	switch f.random.IntN(16) {
	case 12, 13:
		return fault{name: "targets refuse connections", daemons: some, length: length, begin: each(some, f.behave(platformtest.Behavior{RefusesConnections: true})), end: each(some, f.behave(platformtest.Behavior{}))}
	case 14, 15:
		return fault{name: fmt.Sprintf("departure at %d and restart while the store is away", one[0]), length: storeAway, begin: func() { f.departAndRestart(one[0], signal) }, end: func() { d.store.SetFault(platformtest.NoFault) }}
	case 0, 1:
		return fault{name: "store connections silent", begin: each(all, silentStore)}
	case 2:
		return fault{name: "some store connections silent", begin: each(some, silentStore)}
	case 3:
		return fault{name: "links silent", begin: each(all, silentLinks)}
	case 4:
		return fault{name: "store connections and links silent", begin: func() { each(all, silentStore)(); each(all, silentLinks)() }}
	case 5:
		return fault{name: "new store connections silent", length: length, begin: each(some, func(n *instance) { n.store.SilenceNew(direction); n.store.Silence(direction) }), end: each(some, func(n *instance) { n.store.SilenceNew(0); n.store.Reset() })}
	case 6:
		return fault{name: fmt.Sprintf("store fault %d", storeFault), length: length, begin: func() { d.store.SetFault(storeFault) }, end: func() { d.store.SetFault(platformtest.NoFault) }}
	case 7:
		return fault{name: "connections reset", begin: each(some, func(n *instance) { n.store.Reset(); n.links.Reset() })}
	case 8:
		return fault{name: "SIGKILL", daemons: some, length: startTime, restart: true, begin: each(some, signal("daemon", syscall.SIGKILL))}
	case 9:
		return fault{name: "SIGTERM", daemons: one, length: graceTime + startTime, restart: true, begin: each(one, signal("daemon", syscall.SIGTERM))}
	case 10:
		return fault{name: "SIGSTOP", daemons: some, length: length, pauses: true, begin: each(some, signal("daemon", syscall.SIGSTOP)), end: each(some, signal("daemon", syscall.SIGCONT))}
	}
	return fault{name: "SIGKILL of the target and SIGHUP", daemons: one, length: startTime, begin: func() { each(one, signal("target", syscall.SIGKILL))(); each(some, signal("daemon", syscall.SIGHUP))() }}
}

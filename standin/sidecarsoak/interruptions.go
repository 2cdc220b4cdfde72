package sidecarsoak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// interruptionPause is the time between two series of interruptions.
	interruptionPause = 2 * time.Second
	// maxInterruptions is the largest number of interruptions of a series.
	maxInterruptions = 4
	// minInterruption and maxInterruption bound the time for which a daemon loses the
	// processor. Other daemons do not suspect it in that time.
	minInterruption = 300 * time.Millisecond
	maxInterruption = 1000 * time.Millisecond
	// maxInterruptionGap bounds the time between two interruptions of a series.
	maxInterruptionGap = 300 * time.Millisecond

	// Daemons that are short of processor time run for sliceTime of each slicePeriod, as under a
	// quota, for shortageTime.
	sliceTime    = 16 * time.Millisecond
	slicePeriod  = 100 * time.Millisecond
	shortageTime = 5 * time.Second
	// oneShortageOf is the number of series of interruptions of which one is a shortage.
	oneShortageOf = 3
)

// interrupt stops single daemons for parts of a second, several times in a row, until ctx
// ends, as a machine does that has no processor time for them, or lets some run in small slices.
func (f *faults) interrupt(ctx context.Context) {
	for {
		pause(ctx, interruptionPause)
		if ctx.Err() != nil {
			return
		}
		if f.random.IntN(oneShortageOf) == 0 {
			f.shortage(ctx, f.some())
			continue
		}
		i := f.random.IntN(len(f.d.instances))
		for range 1 + f.random.IntN(maxInterruptions) {
			length := minInterruption + time.Duration(f.random.Int64N(int64(maxInterruption-minInterruption)))
			f.inject(ctx, fault{name: "interruption", daemons: []int{i}, length: length, pauses: true, begin: f.signalTo(i, syscall.SIGSTOP), end: f.signalTo(i, syscall.SIGCONT)})
			pause(ctx, time.Duration(f.random.Int64N(int64(maxInterruptionGap))))
		}
	}
}

// shortage leaves daemons a part of the processor time.
func (f *faults) shortage(ctx context.Context, daemons []int) {
	short, stop := context.WithTimeout(ctx, shortageTime)
	defer stop()
	var all sync.WaitGroup
	f.inject(ctx, fault{name: "shortage of processor time", daemons: daemons, length: shortageTime, pauses: true, begin: func() {
		for _, i := range daemons {
			suspend, resume := f.signalTo(i, syscall.SIGSTOP), f.signalTo(i, syscall.SIGCONT)
			all.Go(func() {
				for short.Err() == nil {
					suspend()
					pause(short, slicePeriod-sliceTime)
					resume()
					pause(short, sliceTime)
				}
			})
		}
	}, end: all.Wait})
}

// signalTo returns a function that sends a signal to a daemon.
func (f *faults) signalTo(daemon int, s syscall.Signal) func() {
	n := f.d.instances[daemon]
	return func() {
		if err := f.d.signal(n, "daemon", s); err != nil {
			_, _ = fmt.Fprintf(f.log, "signal %v to the daemon of %s: %v\n", s, n.name, err)
		}
	}
}

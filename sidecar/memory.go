package sidecar

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/recvlimit"
)

const (
	// heapPart is the part of the process's memory that the heap may take, garbage
	// included. The rest is for socket buffers and what the runtime takes beyond its limit
	// for a moment.
	heapPart = 0.75
	// collectPart is the part of the process's memory that the heap takes before a large buffer
	// waits for a collection. It is below heapPart, since small allocations go on meanwhile.
	collectPart = 0.7
	// baseMemory is left to the state of the daemon: tables, links, log lines, the heap's
	// garbage. A daemon of a fleet of a hundred takes 15 MB of it.
	baseMemory = 24 << 20
	// minMessageMemory is the least that messages may take on a machine of any size.
	minMessageMemory = 16 << 20
	// linkBacklogPart is the part of the messages' memory that the queue of one link may
	// take, so that a daemon that reads nothing does not take all of it.
	linkBacklogPart = 8
	// linkFilesPart is the part of the process's descriptors that links accepted from other
	// daemons may take. Each of them opens up to three.
	linkFilesPart = 4
	// localReceiveBuffer is the size of the receive buffers of connections of callers, targets
	// and operators. The kernel holds half as much again for each of them that is not read,
	// also before it is accepted. They are on the same machine, where a small one takes little
	// speed.
	localReceiveBuffer = 8 << 10
	// unreadConnBytes is the memory that the kernel holds for a connection that is not read.
	unreadConnBytes = 2 * localReceiveBuffer
	// callerConnBytes is the memory of a connection of a caller that sends nothing more:
	// that of the process, and what the kernel holds outside the heap.
	callerConnBytes = 8<<10 + unreadConnBytes
	// callerConnsPart is the part of the messages' memory that such connections may take.
	callerConnsPart = 2
	// callerBacklogPart is the part of the process's memory that connections of callers may take
	// which wait to be accepted. It is outside the heap.
	callerBacklogPart = 32
	// minCallerBacklog is the least number of connections of callers that may wait.
	minCallerBacklog = 128
	// serverBacklog is the number of connections of targets and operators that may wait to be
	// accepted by each server.
	serverBacklog = 64
	// unreadLinkBytes is the memory that the kernel usually holds for a connection of a daemon
	// that was never read. Their buffers have no bound of ours, since links may cross long
	// distances.
	unreadLinkBytes = 128 << 10
	// waitingLinksPart is the part of the process's memory that connections of daemons may take
	// which wait to be accepted, and likewise those whose handshake is not complete. It is
	// outside the heap.
	waitingLinksPart = 8
	// minWaitingLinks and maxWaitingLinks bound the number of either. A fleet of 195 daemons opens
	// 585 links to a daemon that has started.
	minWaitingLinks = 64
	maxWaitingLinks = 1024
	// memoryReportInterval is the time between two reports of messages that were refused or
	// evicted.
	memoryReportInterval = time.Second
)

// messageSources are the sources whose messages share the memory.
var messageSources = []recvlimit.Source{recvlimit.Caller, recvlimit.Daemon, recvlimit.Target}

// messageMemory returns the bytes that messages of all sources may take together in a process
// of a memory in bytes.
func messageMemory(memory int) int {
	return max(heapLimit(memory)-baseMemory, minMessageMemory)
}

// heapLimit returns the bytes that the heap may take.
func heapLimit(memory int) int { return int(heapPart * float64(memory)) }

// callerConnsFor returns the number of connections of callers for which messages have memory.
func callerConnsFor(messages int) int { return messages / callerConnsPart / callerConnBytes }

// callerBacklog returns the number of connections of callers that may wait to be accepted in a
// process of a memory in bytes.
func callerBacklog(memory int) int {
	return max(memory/callerBacklogPart/unreadConnBytes, minCallerBacklog)
}

// waitingLinks returns the number of connections of daemons that may wait to be accepted, or for
// the end of their handshake, in a process of a memory in bytes.
func waitingLinks(memory int) int {
	return max(min(memory/waitingLinksPart/unreadLinkBytes, maxWaitingLinks), minWaitingLinks)
}

// gcPercent is the garbage, as a share of the live heap in per cent, at which a collection
// starts. A daemon allocates about 4 MB a second, so that the default of 100 collects only
// every few seconds and holds as much garbage as live data.
const gcPercent = 40

// LimitGarbage makes the garbage collector run before the garbage exceeds gcPercent of the
// live heap.
func LimitGarbage() { debug.SetGCPercent(gcPercent) }

// LimitHeap makes the garbage collector run more often when the heap approaches its
// part of the process's memory, in bytes. It returns the earlier limit.
func LimitHeap(memory int) (earlier int64) {
	return debug.SetMemoryLimit(int64(heapLimit(memory)))
}

// recordOversize logs and counts an error about a message that was too large. It
// ignores all other errors.
func (d *Daemon) recordOversize(err error) {
	source, ok := recvlimit.Exceeded(err)
	if !ok {
		return
	}
	d.metrics.countOversize(source)
	logevent.Log(d.log, logevent.MessageTooLarge, zap.String("source", string(source)), zap.Error(err))
}

// registerMemory registers metrics of the memory that messages take.
func (m *metricSet) registerMemory(p *recvlimit.Pool) {
	m.set.NewGauge("parsley_receive_memory_limit_bytes", func() float64 { return float64(p.Limit()) })
	for _, source := range messageSources {
		register := func(name string, value func(recvlimit.SourceStats) float64) {
			m.set.NewGauge(fmt.Sprintf("%s{source=%q}", name, string(source)), func() float64 { return value(p.Stats(source)) })
		}
		register("parsley_receive_memory_bytes", func(s recvlimit.SourceStats) float64 { return float64(s.Held) })
		register("parsley_receive_refused_total", func(s recvlimit.SourceStats) float64 { return float64(s.Refused) })
		register("parsley_receive_evicted_total", func(s recvlimit.SourceStats) float64 { return float64(s.Evicted) })
	}
}

// reportMemory logs which messages were refused or evicted because of the memory, until ctx
// ends.
func (d *Daemon) reportMemory(ctx context.Context) error {
	ticker := time.NewTicker(memoryReportInterval)
	defer ticker.Stop()
	last := make(map[recvlimit.Source]recvlimit.SourceStats)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, source := range messageSources {
			now, before := d.memory.Stats(source), last[source]
			last[source] = now
			if now.Refused == before.Refused && now.Evicted == before.Evicted {
				continue
			}
			logevent.Log(d.log, logevent.MessageMemoryExhausted, zap.String("source", string(source)), zap.Uint64("refused", now.Refused-before.Refused),
				zap.Uint64("evicted", now.Evicted-before.Evicted), zap.Int("held", now.Held), zap.Int("held_by_all", d.memory.Held()), zap.Int("limit", d.memory.Limit()))
		}
	}
}

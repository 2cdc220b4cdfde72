package celltest

import "time"

// links is the state of the network and of the log service that results from
// the active faults.
type links struct {
	cut           [16]NodeSet // by sender: receivers that get none of its messages; index logIndex is the log
	loss          int         // percent
	duplicate     int         // percent
	delay         trueTime    // largest addition
	logDown       bool
	logSlow       trueTime // largest addition
	lostResponses int      // percent
	latePercent   int      // percent
	maxLateness   trueTime
	logDownUntil  trueTime
}

// logIndex is the index of the log in links.cut.
const logIndex = 14

// activeFault is an active fault with its roles resolved to slots.
type activeFault struct {
	Fault
	index int
}

// apply adds the effect of f.
func (l *links) apply(f *activeFault) {
	switch f.Kind {
	case Cut:
		l.cutOneWay(f.From, f.To)
	case CutBoth:
		l.cutOneWay(f.From, f.To)
		l.cutOneWay(f.To, f.From)
	case Loss:
		l.loss = max(l.loss, f.Percent)
	case Duplicate:
		l.duplicate = max(l.duplicate, f.Percent)
	case Delay:
		l.delay = max(l.delay, toTrue(f.Amount))
	case LogDown:
		l.logDown = true
		l.logDownUntil = max(l.logDownUntil, toTrue(f.End()))
	case LogSlow:
		l.logSlow = max(l.logSlow, toTrue(f.Amount))
	case LogLostAnswers:
		l.lostResponses = max(l.lostResponses, f.Percent)
	case LogLate:
		l.latePercent = max(l.latePercent, f.Percent)
		l.maxLateness = max(l.maxLateness, toTrue(f.Amount))
	}
}

func (l *links) cutOneWay(from, to NodeSet) {
	for i := range l.cut {
		if from&(1<<i) != 0 {
			l.cut[i] |= to
		}
	}
}

func toTrue(d time.Duration) trueTime { return trueTime(d) }

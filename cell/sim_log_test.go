package cell

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/platformlog"
)

func (s *sim) append(p *simProc, a Append) {
	if s.unreachable(p) {
		s.after(simLogDelay, func() { s.step(p, Appended{Nonce: a.Nonce, Outcome: AppendFailed}) })
		return
	}
	s.after(simLogDelay, func() {
		if s.dropsAppends {
			s.step(p, Appended{Nonce: a.Nonce, Outcome: AppendUnknown})
			return
		}
		if late := s.late(); late > 0 {
			s.after(late, func() { s.land(a.Record) })
			s.step(p, Appended{Nonce: a.Nonce, Outcome: AppendUnknown})
			return
		}
		offset := s.land(a.Record)
		answer := Appended{Nonce: a.Nonce, Offset: offset, Outcome: AppendDone}
		if s.losesAnswers {
			answer = Appended{Nonce: a.Nonce, Outcome: AppendUnknown}
		}
		s.after(simLogDelay, func() { s.step(p, answer) })
	})
}

func (s *sim) late() time.Duration {
	if s.landLate == nil {
		return 0
	}
	return s.landLate()
}

func (s *sim) unreachable(p *simProc) bool {
	return s.logDown || s.logCut != nil && s.logCut(p.id.Instance)
}

// land adds a record to the stream.
func (s *sim) land(r Record) platformlog.Offset {
	offset := platformlog.Offset(len(s.records) + 1)
	s.records = append(s.records, platformlog.Record{Offset: offset, Time: int64(s.now), Payload: r.AppendTo(nil)})
	fmt.Fprintf(s.trace, "%s log %d: %s\n", s.stamp(), offset, describeRecord(r))
	for _, p := range s.procs {
		if p.node.leader != nil || p.node.deputy.named {
			s.after(simLogDelay, func() { s.read(p) })
		}
	}
	return offset
}

// poll reads the log for ever, as drivers do.
func (s *sim) poll(p *simProc) {
	if !p.alive || p.left {
		return
	}
	s.read(p)
	s.after(simLongPoll, func() { s.poll(p) })
}

func (s *sim) read(p *simProc) {
	if s.unreachable(p) || !p.alive || p.frozen {
		return
	}
	from := p.node.reader.next
	earliest := platformlog.Offset(s.kept + 1)
	if from < earliest {
		s.step(p, LogTruncated{From: from, Earliest: earliest})
		return
	}
	batch := platformlog.Batch{Earliest: earliest, Next: platformlog.Offset(len(s.records) + 1), Records: s.records[from-1:]}
	s.step(p, LogRead{Started: p.local(s.now), From: from, Batch: batch})
}

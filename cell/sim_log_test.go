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
		if late := s.nextAppendDelay(); late > 0 {
			s.after(late, func() { s.appendRecord(a.Record) })
			s.step(p, Appended{Nonce: a.Nonce, Outcome: AppendUnknown})
			return
		}
		offset := s.appendRecord(a.Record)
		answer := Appended{Nonce: a.Nonce, Offset: offset, Outcome: AppendDone}
		if s.losesAppendResponses {
			answer = Appended{Nonce: a.Nonce, Outcome: AppendUnknown}
		}
		s.after(simLogDelay, func() { s.step(p, answer) })
	})
}

func (s *sim) nextAppendDelay() time.Duration {
	if s.appendDelay == nil {
		return 0
	}
	return s.appendDelay()
}

func (s *sim) unreachable(p *simProc) bool {
	return s.logDown || s.logCut != nil && s.logCut(p.id.Instance)
}

// appendRecord adds a record to the stream.
func (s *sim) appendRecord(r Record) platformlog.Offset {
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

// poll reads the log repeatedly, as drivers do.
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
	earliest := platformlog.Offset(s.truncated + 1)
	if from < earliest {
		s.step(p, LogTruncated{From: from, Earliest: earliest})
		return
	}
	batch := platformlog.Batch{Earliest: earliest, Next: platformlog.Offset(len(s.records) + 1), Records: s.records[from-1:]}
	s.step(p, LogRead{Started: p.local(s.now), From: from, Batch: batch})
}

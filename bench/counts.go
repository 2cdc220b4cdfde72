package bench

import "github.com/parsleystack/parsleystack/outcome"

func (s *Counts) add(sm sample) {
	switch sm.class.Kind {
	case outcome.Done:
		s.Done++
	case outcome.NotRun:
		s.NotRun++
	default:
		s.Unknown++
	}
	s.MaxLatency = max(s.MaxLatency, sm.latency)
}

func (s *Counts) merge(o *Counts) {
	s.Done += o.Done
	s.NotRun += o.NotRun
	s.Unknown += o.Unknown
	s.MaxLatency = max(s.MaxLatency, o.MaxLatency)
}

package transport

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/parsleystack/parsleystack/outcomestat"
)

// Register registers the counters as metrics whose names start with prefix, such
// as parsley_pool.
func (c *Counters) Register(set *metrics.Set, prefix string) {
	for _, class := range []Class{ClassControl, ClassRequest, ClassBulk} {
		label := `{class="` + class.String() + `"}`
		outcomestat.Register(set, prefix+"_received_bytes_total"+label, c.BytesIn[class].Load)
		outcomestat.Register(set, prefix+"_sent_bytes_total"+label, c.BytesOut[class].Load)
		outcomestat.Register(set, prefix+"_received_frames_total"+label, c.FramesIn[class].Load)
		outcomestat.Register(set, prefix+"_sent_frames_total"+label, c.FramesOut[class].Load)
	}
	outcomestat.Register(set, prefix+"_late_answers_total", c.LateAnswers.Load)
	outcomestat.Register(set, prefix+"_bad_connections_total", c.BadConns.Load)
	outcomestat.Register(set, prefix+"_bad_messages_total", c.BadMessages.Load)
	outcomestat.Register(set, prefix+"_silent_connections_total", c.SilentConns.Load)
	outcomestat.Register(set, prefix+"_dials_total", c.Dials.Load)
	outcomestat.Register(set, prefix+"_failed_dials_total", c.FailedDials.Load)
	outcomestat.Register(set, prefix+"_dropped_frames_total", c.DroppedFrames.Load)
}

// RegisterSegments registers the TCP segment counts of open connections as metrics
// whose names start with prefix.
func RegisterSegments(set *metrics.Set, prefix string, segments func(Class) Segments) {
	for _, class := range []Class{ClassControl, ClassRequest} {
		label := `{class="` + class.String() + `"}`
		outcomestat.Register(set, prefix+"_received_segments"+label, func() uint64 { return segments(class).In })
		outcomestat.Register(set, prefix+"_sent_segments"+label, func() uint64 { return segments(class).Out })
	}
}

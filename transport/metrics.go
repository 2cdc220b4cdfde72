package transport

import "github.com/VictoriaMetrics/metrics"

// Register publishes the counters under names with the given prefix, such as
// parsley_pool.
func (c *Counters) Register(set *metrics.Set, prefix string) {
	for _, class := range []Class{ClassControl, ClassRequest, ClassBulk} {
		label := `{class="` + class.String() + `"}`
		gauge(set, prefix+"_received_bytes_total"+label, c.BytesIn[class].Load)
		gauge(set, prefix+"_sent_bytes_total"+label, c.BytesOut[class].Load)
		gauge(set, prefix+"_received_frames_total"+label, c.FramesIn[class].Load)
		gauge(set, prefix+"_sent_frames_total"+label, c.FramesOut[class].Load)
	}
	gauge(set, prefix+"_late_answers_total", c.LateAnswers.Load)
	gauge(set, prefix+"_bad_connections_total", c.BadConns.Load)
	gauge(set, prefix+"_dials_total", c.Dials.Load)
	gauge(set, prefix+"_failed_dials_total", c.FailedDials.Load)
	gauge(set, prefix+"_dropped_frames_total", c.DroppedFrames.Load)
}

// RegisterSegments publishes the segments of open connections under names with
// the given prefix.
func RegisterSegments(set *metrics.Set, prefix string, segments func(Class) Segments) {
	for _, class := range []Class{ClassControl, ClassRequest} {
		label := `{class="` + class.String() + `"}`
		gauge(set, prefix+"_received_segments"+label, func() uint64 { return segments(class).In })
		gauge(set, prefix+"_sent_segments"+label, func() uint64 { return segments(class).Out })
	}
}

func gauge(set *metrics.Set, name string, load func() uint64) {
	set.NewGauge(name, func() float64 { return float64(load()) })
}

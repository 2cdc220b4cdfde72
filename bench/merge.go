package bench

import (
	"cmp"
	"slices"
)

// merge adds the recordings of o to r.
func (r *recorder) merge(o *recorder) {
	for key, from := range o.rows {
		to := r.rows[key]
		if to == nil {
			to = &row{latency: newHistogram()}
			r.rows[key] = to
		}
		to.latency.Merge(from.latency)
		to.noRetry += from.noRetry
		to.inTime += from.inTime
	}
	for key, from := range o.timeline {
		to := r.timeline[key]
		if to == nil {
			to = &Second{}
			r.timeline[key] = to
		}
		to.merge(from)
	}
	r.wrong += o.wrong
	r.torn += o.torn
	r.fates = append(r.fates, o.fates...)
}

// tableRows returns the rows ordered by operation and outcome.
func (r *recorder) tableRows(mix Mix) []Row {
	rows := make([]Row, 0, len(r.rows))
	keys := make([]statKey, 0, len(r.rows))
	for key := range r.rows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b statKey) int {
		return cmp.Or(
			cmp.Compare(a.op, b.op),
			cmp.Compare(a.class.Kind, b.class.Kind),
			cmp.Compare(a.class.Reason, b.class.Reason),
		)
	})
	for _, key := range keys {
		rw := r.rows[key]
		rows = append(rows, Row{
			Op:      mix[key.op].Name,
			Class:   key.class,
			Count:   uint64(rw.latency.TotalCount()),
			InTime:  rw.inTime,
			NoRetry: rw.noRetry,
			Latency: rw.latency,
		})
	}
	return rows
}

// timelineRows returns the timeline ordered by second and operation.
func (r *recorder) timelineRows(mix Mix) []TimelineRow {
	keys := make([]timelineKey, 0, len(r.timeline))
	for key := range r.timeline {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b timelineKey) int {
		return cmp.Or(cmp.Compare(a.second, b.second), cmp.Compare(a.op, b.op))
	})
	rows := make([]TimelineRow, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, TimelineRow{At: key.second, Op: mix[key.op].Name, Counts: *r.timeline[key]})
	}
	return rows
}

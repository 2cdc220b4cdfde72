package bench

import (
	"cmp"
	"slices"
)

// merge adds the records of o to r.
func (r *recorder) merge(o *recorder) {
	for key, from := range o.stats {
		to := r.stats[key]
		if to == nil {
			to = &outcomeStats{latency: newHistogram()}
			r.stats[key] = to
		}
		to.latency.Merge(from.latency)
		to.noRetryAfter += from.noRetryAfter
		to.inTime += from.inTime
	}
	for key, from := range o.timeline {
		to := r.timeline[key]
		if to == nil {
			to = &Counts{}
			r.timeline[key] = to
		}
		to.merge(from)
	}
	r.unmatchedResponses += o.unmatchedResponses
	r.malformedResponses += o.malformedResponses
	r.outcomes = append(r.outcomes, o.outcomes...)
}

// tableRows returns the rows ordered by operation and outcome.
func (r *recorder) tableRows(mix Mix) []Row {
	rows := make([]Row, 0, len(r.stats))
	keys := make([]statKey, 0, len(r.stats))
	for key := range r.stats {
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
		st := r.stats[key]
		rows = append(rows, Row{
			Op:           mix[key.op].Name,
			Class:        key.class,
			Count:        uint64(st.latency.TotalCount()),
			InTime:       st.inTime,
			NoRetryAfter: st.noRetryAfter,
			Latency:      st.latency,
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
		rows = append(rows, TimelineRow{Second: key.second, Op: mix[key.op].Name, Counts: *r.timeline[key]})
	}
	return rows
}

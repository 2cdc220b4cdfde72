package celltest

import (
	"time"

	"github.com/parsleystack/parsleystack/cell"
)

// loadInterval is the time between load reports of a process.
const loadInterval = trueTime(time.Second)

// hotTime is the time for which a range stays the hottest.
const hotTime = trueTime(20 * time.Second)

// reportLoad sends the load of the ranges held to each machine that balances.
// The load of a range follows from its position and the time, so that the
// hottest range changes now and then.
func (w *World) reportLoad() {
	if !w.params.moves || w.now < w.nextLoad {
		return
	}
	w.nextLoad = w.now + loadInterval
	for i := range w.procs {
		p := &w.procs[i]
		if p.alive && len(p.holdings) > 0 {
			w.tell(p, w.loadOf(p))
		}
	}
}

func (w *World) loadOf(p *process) cell.Load {
	phase := uint64(w.now / hotTime)
	ranges := make([]cell.RangeLoad, 0, len(p.holdings))
	for k := range p.holdings {
		r := p.holdings[k].Grant.Range
		l := cell.RangeLoad{Range: r, Rate: float64(uint64(r.Last)>>56^phase*37) / 2}
		if uint64(r.Last)>>60 == phase%16 {
			l.HotPoint = r.First + (r.Last-r.First)/2
			l.HotRate = l.Rate + 300
			l.Rate += 400
		}
		ranges = append(ranges, l)
	}
	return cell.Load{Ranges: ranges}
}

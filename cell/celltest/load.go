package celltest

import (
	"time"

	"github.com/parsleystack/parsleystack/cell"
)

// loadInterval is the time between load reports of a process.
const loadInterval = trueTime(time.Second)

// hotPeriod is the time after which another part of the hash space is the hottest.
const hotPeriod = trueTime(20 * time.Second)

// reportLoad reports the load of the held ranges to each process if balancing is
// enabled. The load of a range is a function of its position and the time, so
// that the hottest range changes.
func (w *World) reportLoad() {
	if !w.params.balancing || w.now < w.nextLoad {
		return
	}
	w.nextLoad = w.now + loadInterval
	for i := range w.procs {
		p := &w.procs[i]
		if p.alive && len(p.holdings) > 0 {
			w.enqueueEvent(p, w.loadOf(p))
		}
	}
}

func (w *World) loadOf(p *process) cell.Load {
	phase := uint64(w.now / hotPeriod)
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

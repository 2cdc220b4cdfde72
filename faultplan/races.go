package faultplan

import "fmt"

// Range of the queue limits that concurrent operators publish.
const (
	minQueueLimit = 20
	maxQueueLimit = 60
)

// addRaces adds pairs of conflicting publishes.
func (g *generator) addRaces(d *Deployment) {
	for at := g.cfg.Warmup + g.randomInterval(); at <= g.latestEnd(); at += g.randomLength() + g.randomInterval() {
		service := d.Cells[g.random.IntN(len(d.Cells))].Service
		first := minQueueLimit + g.random.IntN(maxQueueLimit-minQueueLimit)
		g.add(Action{
			At:         at,
			Deployment: d.Name,
			Losses:     SingleLoss,
			Kind:       Race,
			Subject:    service,
			Detail:     fmt.Sprintf("%d,%d", first, first+1),
		})
	}
}

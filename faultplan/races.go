package faultplan

import "fmt"

// Queue limits that racing operators publish.
const (
	minQueueLimit = 20
	maxQueueLimit = 60
)

// races draws pairs of conflicting publishes.
func (g *generator) races(d *Deployment) {
	for at := g.cfg.Warmup + g.pause(); at <= g.end(); at += g.length() + g.pause() {
		service := d.Cells[g.random.IntN(len(d.Cells))].Service
		first := minQueueLimit + g.random.IntN(maxQueueLimit-minQueueLimit)
		g.add(Action{
			At:         at,
			Deployment: d.Name,
			Losses:     One,
			Kind:       Race,
			Subject:    service,
			Detail:     fmt.Sprintf("%d,%d", first, first+1),
		})
	}
}

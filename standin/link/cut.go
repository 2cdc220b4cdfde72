package link

import "github.com/parsleystack/parsleystack/ident"

// Any stands for every instance in a Cut.
const Any ident.Instance = "*"

// Cut takes what one instance sends to another. Data that is cut waits, and
// arrives late once the cut has ended.
type Cut struct {
	From ident.Instance `json:"from"`
	To   ident.Instance `json:"to"`
	// Reset closes connections at once in place of stalling them.
	Reset bool `json:"reset,omitempty"`
}

func (c Cut) takes(from, to ident.Instance) bool {
	return (c.From == Any || c.From == from) && (c.To == Any || c.To == to)
}

// Control lists the cuts in force. It replaces the cuts before it.
type Control struct {
	Cuts []Cut `json:"cuts"`
}

// verdict says what becomes of data on a link.
type verdict int

const (
	pass verdict = iota
	stall
	reset
)

func (c Control) verdict(from, to ident.Instance) verdict {
	worst := pass
	for _, cut := range c.Cuts {
		if !cut.takes(from, to) {
			continue
		}
		if cut.Reset {
			return reset
		}
		worst = stall
	}
	return worst
}

package link

import "github.com/parsleystack/parsleystack/ident"

// Any matches every instance in a Cut.
const Any ident.Instance = "*"

// Cut blocks the data that one instance sends to another. Blocked data is not
// lost: it is delivered after the cut has ended.
type Cut struct {
	From ident.Instance `json:"from"`
	To   ident.Instance `json:"to"`
	// Reset closes the connections immediately instead of stalling them.
	Reset bool `json:"reset,omitempty"`
}

func (c Cut) matches(from, to ident.Instance) bool {
	return (c.From == Any || c.From == from) && (c.To == Any || c.To == to)
}

// Control lists the cuts in force. A new Control replaces all earlier cuts.
type Control struct {
	Cuts []Cut `json:"cuts"`
}

// action is what happens to data on a link.
type action int

const (
	pass action = iota
	stall
	reset
)

func (c Control) action(from, to ident.Instance) action {
	worst := pass
	for _, cut := range c.Cuts {
		if !cut.matches(from, to) {
			continue
		}
		if cut.Reset {
			return reset
		}
		worst = stall
	}
	return worst
}

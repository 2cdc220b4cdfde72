package cell

import "time"

// moveWindow is the time over which moves are counted against their limit.
const moveWindow = time.Minute

// balancesLoad reports whether load, and not the number of ranges, decides who
// owns what.
func (n *Node) balancesLoad() bool { return false }

// runBalance improves the balance of load.
func (n *Node) runBalance() {}

package celltest

import (
	"fmt"
	"strconv"
	"strings"
)

// maxSlots is the largest number of instances in a world.
const maxSlots = 12

// NodeSet is a set of instances and the log. Instances are selected by slot or
// by the role that they have when a fault starts.
type NodeSet uint16

const (
	// Leader selects the instance of the leader.
	Leader NodeSet = 1 << 12
	// Deputy selects the instance of the deputy.
	Deputy NodeSet = 1 << 13
	// Log selects the log service.
	Log NodeSet = 1 << 14
	// Rest selects every instance that is neither leader nor deputy.
	Rest NodeSet = 1 << 15
)

// slotMask masks the slots of a NodeSet.
const slotMask = Leader - 1

var roleNames = []struct {
	set  NodeSet
	name string
}{{Leader, "leader"}, {Deputy, "deputy"}, {Log, "log"}, {Rest, "rest"}}

// Slot returns the set of one instance.
func Slot(i int) NodeSet { return 1 << i }

// String formats s as names joined by "+".
func (s NodeSet) String() string {
	var parts []string
	for i := 0; i < maxSlots; i++ {
		if s&Slot(i) != 0 {
			parts = append(parts, strconv.Itoa(i))
		}
	}
	for _, r := range roleNames {
		if s&r.set != 0 {
			parts = append(parts, r.name)
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, "+")
}

// parseNodeSet is the inverse of NodeSet.String.
func parseNodeSet(text string) (NodeSet, error) {
	if text == "none" {
		return 0, nil
	}
	var set NodeSet
	for _, part := range strings.Split(text, "+") {
		one, err := parseNode(part)
		if err != nil {
			return 0, err
		}
		set |= one
	}
	return set, nil
}

func parseNode(name string) (NodeSet, error) {
	for _, r := range roleNames {
		if r.name == name {
			return r.set, nil
		}
	}
	i, err := strconv.Atoi(name)
	if err != nil || i < 0 || i >= maxSlots {
		return 0, fmt.Errorf("celltest: unknown instance %q; use 0 to %d, leader, deputy, rest or log", name, maxSlots-1)
	}
	return Slot(i), nil
}

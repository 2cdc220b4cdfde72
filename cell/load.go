package cell

//msgp:tuple RangeLoad

import "github.com/parsleystack/parsleystack/keyspace"

// RangeLoad is the load of one range as its owner measured it.
type RangeLoad struct {
	Range    keyspace.Range `msg:"r"`
	Rate     float64        `msg:"q"` // requests per second
	HotPoint keyspace.Point `msg:"h"` // most frequent point, from the owner's sketch
	HotRate  float64        `msg:"y"` // requests per second of HotPoint; 0 if there is no hot point
}

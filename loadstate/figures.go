package loadstate

// Figures is the load that a target states in a response.
type Figures struct {
	Running, Waiting, Slots float64
	Slowness                float64 // duration of work relative to the usual one, more than 0
}

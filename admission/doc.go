// Package admission decides which requests a daemon hands to its target, which
// wait and which are refused.
//
// The core is a state machine without I/O. It runs at most as many requests at
// once as an adaptive limit below the target's slots allows; the others wait in
// a short queue ordered by deadline, in which no flow (the requests of one key)
// may displace the rest and requests of low priority give way. Step must be
// called by one goroutine at a time.
package admission

// Package workqueue decides which requests a daemon hands to its target, which
// wait and which are refused at once.
//
// It learns how long requests of each class take at the target and predicts
// when a new one would be done. A request that would miss its objective behind
// the work ahead of it is refused when it arrives: in an overload that lasts,
// a queue longer than that only makes every answer late. Among those that
// wait, the urgent ones go first, and of these the one whose objective ends
// first. The queue has no I/O, clock or lock; one goroutine at a time may
// call it.
package workqueue

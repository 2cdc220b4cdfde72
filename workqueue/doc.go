// Package workqueue is the admission queue in front of a target. It decides
// which requests a daemon sends to the target, which wait and which are refused
// immediately.
//
// It estimates the service time of each class of requests and predicts when a
// new request would complete. A request that would miss its objective because
// of the requests ahead of it is refused on arrival: under sustained overload, a
// longer queue would only delay every response. Waiting requests are ordered by
// priority and then by the end of their objective. The queue does no I/O, reads
// no clock and has no lock; it must be used by one goroutine at a time.
package workqueue

// Package hedge decides which requests of callers get a second copy, and when: a request
// that a target answers much later than its route's requests are usually answered may be sent
// to another target as well, and the first response counts. It does no I/O, and has no clock.
//
// The delay of the copy is a high quantile of the response times of the route as this daemon
// observes them, so that few requests get one. The load that it handles is a single slow or
// silent target among others that respond as usual. A fleet that is slow as a whole, or
// overloaded, gets few copies or none: the operators' limit is a share of the daemon's own
// requests, a copy is only sent to a target with free slots, and after copies that were of no
// use only some are sent.
package hedge

// Package admission decides which requests a daemon forwards to its target,
// which it queues and which it refuses.
//
// Queue is a state machine without I/O. It limits the number of concurrent
// requests adaptively, to at most the target's slots, and keeps the others in a
// short queue ordered by deadline. When the queue is full, requests of low
// priority are evicted first, and a flow (the requests of one key) can't crowd
// out the other flows. Step must not be called concurrently.
package admission

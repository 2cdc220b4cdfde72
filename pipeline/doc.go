// Package pipeline decides how the requests of one connection proceed when its caller sends
// further ones before the first has been answered (HTTP/1.1 pipelining). It handles bursts of
// requests on one connection, of which the first may be slow: served one after the other, the
// later ones would use up their deadlines behind it.
//
// Idempotent requests are begun as soon as they have been read. A request that is not
// idempotent is begun once every response before it has been written: an earlier response may
// close the connection, and callers then resend whatever follows it. Responses are written in
// the order of the requests.
//
// The package does no I/O and does not lock; the owner of a Queue serializes its calls.
package pipeline

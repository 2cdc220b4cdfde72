// Package callerhttp is the HTTP/1.1 server for callers. It reads further requests of a
// connection while earlier ones are in progress, runs them as package pipeline decides, and
// writes the responses in order. Bodies and queued responses count toward a recvlimit.Pool.
//
// Each connection has one goroutine that reads. A request runs on a second one, so the reader
// notices at once when the caller closes the connection. An idle connection has no buffers.
package callerhttp

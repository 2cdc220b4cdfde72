// Package transport carries wire frames between daemons over TCP: a Pool of
// outgoing connections that many requests share, and a Server. Each peer has
// one connection per traffic class, so that messages of the control state do
// not queue behind requests.
package transport

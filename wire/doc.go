// Package wire defines the frames that daemons exchange over TCP.
//
// A frame is a 4-byte big-endian length, a kind byte, an 8-byte big-endian
// correlation id and a msgpack body; the length counts everything after
// itself. Both sides open a connection with a Hello frame that states the
// protocol versions they speak. Every decoding error is typed and concerns
// one connection only; the receiver closes it.
package wire

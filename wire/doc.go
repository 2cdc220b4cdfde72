// Package wire defines the frames that daemons exchange over TCP.
//
// A frame is a 4-byte big-endian length, a kind byte, an 8-byte big-endian
// correlation id and a msgpack body; the length counts everything after
// itself. On each new connection both sides first send a Hello frame with the
// protocol versions they support. Decoding errors are typed and affect only one
// connection; the receiver closes it.
package wire

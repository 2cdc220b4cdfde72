// Package link is a stand-in of the network between daemons, for tests and
// trials. A Network relays the TCP connections that daemons open to the
// addresses they announce, and cuts links between them when it is told to. It
// knows the sender by the Hello that opens each connection, so the connections
// must be without TLS.
package link

// Package link simulates the network between daemons, for tests and trials. A
// Network relays the TCP connections that daemons open to each other's
// announced addresses, and cuts links between them on request. It identifies
// the sender by the Hello message that opens each connection, so connections
// must not use TLS.
package link

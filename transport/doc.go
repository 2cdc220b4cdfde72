// Package transport sends wire frames between daemons over TCP. A Pool holds
// outgoing connections that many requests share; a Server accepts incoming ones.
// A Pool has one connection to each peer and traffic class, so that control
// messages do not queue behind requests.
package transport

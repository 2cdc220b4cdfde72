// Package certs gives daemons mutual TLS from files that may be replaced while
// the daemon runs. New connections use the newest files that fit together;
// connections that are open stay as they are.
package certs

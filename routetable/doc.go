// Package routetable holds the operator's configuration as daemons use it:
// immutable tables of routes and services, looked up by host and path.
package routetable

// Package routetable holds the operator's configuration in the form that
// daemons use: immutable tables of routes and services, looked up by host and
// path.
package routetable

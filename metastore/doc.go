// Package metastore is the interface to the shared store. The store offers
// append-only logs with conditional appends, and keyed topics that keep the
// newest record of each key. It holds everything that daemons must agree on and
// all data that must survive them.
package metastore

// Package metastore is the project's view of a shared store that offers
// append-only logs with conditional appends and keyed topics that keep the
// newest record of each key. Everything that daemons must agree on or that has
// to outlast them goes through it.
package metastore

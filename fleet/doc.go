// Package fleet is the directory of daemons and the targets beside them.
//
// Each daemon keeps one record of itself in the shared store and changes it
// only when its target starts, leaves or ends. Daemons exchange short statuses
// on their own links, which carry liveness, load, versions and records that
// the store could not take, so that an outage of the store stops no news
// between daemons that reach each other.
package fleet

// Package fleet keeps the directory of daemons and of the targets beside them.
//
// Each daemon keeps one record of itself in the shared store and changes it
// only when its target starts, leaves or ends. Daemons also exchange short
// status messages over their own links. A status carries liveness, load,
// versions, and the sender's record if the receiver may not have it, so
// daemons that reach each other stay up to date during an outage of the store.
package fleet

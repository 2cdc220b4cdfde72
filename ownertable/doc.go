// Package ownertable decides which target holds which keys of a service, by a
// table that lies in a shared store and changes only by conditional appends.
//
// Every daemon of the service folds the same records and may propose the next
// table; the store takes the first proposal and voids the others. A fencing
// token is the offset at which the table with the grant was appended, plus
// one, so tokens grow also when every daemon was lost.
//
// A daemon hands a row to its target only while its Lease is valid. To take a
// row from a daemon, another one appends the row as revoked. The daemon that
// reads this lets go at once; from one that does not, the row is free after
// the longest lease that it can still have. Nothing in the package does I/O or
// reads a clock.
package ownertable

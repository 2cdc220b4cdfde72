// Package ownertable decides which target owns which keys of a service. The
// assignment table is a record in a shared log and changes only by conditional
// appends.
//
// Every daemon of the service applies the same records and may propose the
// next table. The log accepts the first proposal for an offset and rejects the
// others. The fencing token of a shard is the offset at which the table with
// the assignment was appended, plus one, so tokens also increase when all
// daemons have lost their state.
//
// A daemon grants a shard to its target only while its Lease is valid. To
// reassign a shard of another daemon, a daemon appends a table in which the
// shard is revoked. The owning daemon releases the shard as soon as it reads
// this table. If it does not, the shard can be reassigned after the longest
// lease that the owning daemon can still have. The package does no I/O and
// reads no clock.
package ownertable

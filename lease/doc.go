// Package lease holds the grants of the local process in the form that the
// request path reads: an immutable table that is swapped atomically, and a
// count of the requests in flight for each range.
package lease

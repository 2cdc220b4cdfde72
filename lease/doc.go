// Package lease holds the grants of the local process in the form used on the
// request path: an immutable snapshot that is swapped atomically, and a count
// of the requests in flight under each grant.
package lease

// Package route finds the daemon that owns the key of a request. The request
// path reads an immutable Table that is swapped atomically; one writer at a time
// builds its successor.
package route

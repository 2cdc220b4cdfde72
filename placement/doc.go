// Package placement chooses the target of a request that any target of its
// service may run. The choice is a pure function of what is known of the
// candidates.
package placement

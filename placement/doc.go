// Package placement selects the target for a request that any target of its
// service may run. The selection is a pure function of the candidates and a
// source of random numbers.
package placement

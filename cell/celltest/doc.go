// Package celltest tests the state machine of package cell by deterministic
// simulation. A World simulates true time, drifting clocks, a network and a log
// that lose, delay and duplicate messages and records, processes that freeze,
// exit and restart, and operators. It runs one Schedule of faults and checks the
// invariants of docs/design/0001-ownership.md at every step. A run depends only
// on the schedule and its seed, so a failure can be reproduced and shrunk.
//
// "make soak SEED=n STEPS=m" runs random worlds for a number of steps. A failure
// is printed as a shrunk trace, which "parsley-soak --replay file" runs again.
// The tests replay all traces in testdata. Each trace in testdata/rules disables
// one rule of the protocol and must violate an invariant.
package celltest

// Package celltest checks the state machine of package cell against a small
// deterministic world: a virtual true time, drifting clocks, a network and a
// log that lose, delay and duplicate, processes that freeze, die and restart,
// and operators. A World runs one Schedule of faults and asserts the
// invariants of docs/design/0001-ownership.md at every step. Everything that
// happens follows from the schedule and its seed, so that a failure can be
// repeated and shrunk.
//
// "make soak SEED=n STEPS=m" runs worlds for as long as asked. A failure is
// printed as a shrunk trace; "parsley-soak --replay file" runs it again, and a
// trace put into testdata is replayed by the tests from then on. The traces in
// testdata/rules break one rule of the protocol each and must fail.
package celltest

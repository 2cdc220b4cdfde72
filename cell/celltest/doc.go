// Package celltest checks the state machine of package cell against a small
// deterministic world: a virtual true time, drifting clocks, a network and a
// log that lose, delay and duplicate, processes that freeze, die and restart,
// and operators. A World runs one Schedule of faults and asserts the
// invariants of docs/design/0001-ownership.md at every step. Everything that
// happens follows from the schedule and its seed, so that a failure can be
// repeated and shrunk.
package celltest

// Package probe measures for how long keys are unavailable. A Watcher reads a
// set of keys continuously through one daemon and records each gap between two
// valid responses for a key. Effects and WriteReport relate the gaps to the times
// at which instances were lost.
package probe

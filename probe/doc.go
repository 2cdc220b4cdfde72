// Package probe measures for how long keys are unavailable. A Watcher reads a
// set of keys without pause through one daemon and writes down each gap between
// two whole answers of a key; a Report sets the gaps against the times at which
// instances were lost.
package probe

// Package rangeload measures the load of the ranges that a daemon owns, for the
// leader of its cell. A Recorder notes the position of each request, a Reporter
// names the ranges whose load has changed enough to be worth a message.
package rangeload

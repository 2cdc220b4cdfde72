// Package rangeload measures the load of the ranges that a daemon owns and
// selects what to report to the leader of its cell. A Recorder samples the hash
// positions of requests; a Reporter selects the ranges whose load has changed
// significantly.
package rangeload

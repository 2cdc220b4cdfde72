// Package bench is an open-loop load generator that verifies the guarantees of
// the request path.
//
// Requests are sent on a schedule that does not wait for responses, and latency
// is measured from the scheduled time, so that it includes queueing in the tool.
// Every response is checked to be complete and to belong to its request. After the
// run, the outcomes that callers saw are compared with the run records of the
// targets.
package bench

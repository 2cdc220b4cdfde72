// Package bench is an open-loop load tool for the request path and a judge of
// its promises.
//
// Requests are sent on a schedule that does not wait for answers, and latency
// is counted from the scheduled time, so that queueing shows. Every answer is
// checked to be whole and to belong to its request. The judge compares the
// outcomes that callers saw with the records of the targets.
package bench

// Package faultreport computes the effects of a failure run on one deployment:
// imbalance of keys and load, churn in key ownership, unavailability of keys, and
// guarantees that drains and configuration changes violated. Its input is the
// targets' records, the events of the run, the gaps recorded by probes, the
// results of publishes, the daemons' logs and their status at the end of the run.
package faultreport

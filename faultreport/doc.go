// Package faultreport works out what a failure run did to one deployment, from
// the targets' records, the events of the run, the gaps that probes have seen,
// the results of publishes, the daemons' logs and their last status: imbalance
// of keys and load, churn in key ownership, unavailable time of keys, and
// promises broken by drains and changes of configuration.
package faultreport

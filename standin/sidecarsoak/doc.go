// Package sidecarsoak exercises parsley-sidecar as real processes. It plays the
// platform's store, the network, the operator and the callers in one process, injects
// faults drawn from a seed, and judges the guarantees by what callers and targets see.
// Daemons and targets are started by scripts/sidecar-faults.sh, which restarts those
// that end.
package sidecarsoak

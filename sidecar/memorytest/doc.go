// Package memorytest tests that crowds of callers and daemons do not make a daemon exceed
// its memory or its descriptors. The daemons are real processes on loopback addresses, with
// lowered limits; the package contains tests only.
package memorytest

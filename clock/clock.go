// Package clock reads the time that leases are measured on.
//
// Leases are compared against CLOCK_BOOTTIME, which keeps counting while the
// instance is suspended. Go's own monotonic reading stands still during a
// suspend, so a lease checked against it could appear valid long after it
// lapsed.
package clock

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Time is a reading of CLOCK_BOOTTIME in nanoseconds since the instance
// booted. Readings of different instances are not comparable.
type Time int64

// Never is earlier than every reading of a clock.
const Never Time = 0

// Now returns the current reading of CLOCK_BOOTTIME. It costs a system call,
// which never blocks.
func Now() Time {
	var ts unix.Timespec
	_, _, errno := unix.RawSyscall(unix.SYS_CLOCK_GETTIME, unix.CLOCK_BOOTTIME, uintptr(unsafe.Pointer(&ts)), 0)
	if errno != 0 {
		panic("clock: CLOCK_BOOTTIME is not available: " + errno.Error())
	}
	return Time(ts.Nano())
}

// Add returns t moved by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

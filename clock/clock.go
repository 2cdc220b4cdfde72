// Package clock reads the clock that leases are measured with.
//
// Leases are compared against CLOCK_BOOTTIME, which keeps counting while the
// instance is suspended. Go's monotonic clock stops during a suspend, so a lease
// checked against it could appear valid long after it has expired.
package clock

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Time is a reading of CLOCK_BOOTTIME in nanoseconds since the instance
// booted. Readings of different instances are not comparable.
type Time int64

// Never is earlier than every reading of the clock.
const Never Time = 0

// Now returns the current reading of CLOCK_BOOTTIME. It makes a system call that
// never blocks.
func Now() Time {
	var ts unix.Timespec
	_, _, errno := unix.RawSyscall(unix.SYS_CLOCK_GETTIME, unix.CLOCK_BOOTTIME, uintptr(unsafe.Pointer(&ts)), 0)
	if errno != 0 {
		panic("clock: CLOCK_BOOTTIME is not available: " + errno.Error())
	}
	return Time(ts.Nano())
}

// Add returns t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

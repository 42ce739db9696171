// Package clock provides the clock for leases, floors and timeouts. It keeps
// running while the machine is suspended and is never set. Neither the wall
// clock nor Go's monotonic clock has both properties.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

var replacement atomic.Pointer[func() time.Time]

// Now returns the time since the machine booted as a time.Time. Only
// differences between two readings on the same machine are meaningful.
func Now() time.Time {
	if f := replacement.Load(); f != nil {
		return (*f)()
	}
	return sinceBoot()
}

// Replace makes Now return the time of f, for tests on virtual time, and
// returns a function that restores the previous clock.
func Replace(f func() time.Time) (restore func()) {
	old := replacement.Swap(&f)
	return func() { replacement.Store(old) }
}

func sinceBoot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Sec, t.Nsec)
}

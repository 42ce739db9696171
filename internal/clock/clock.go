// Package clock reads the time that leases, floors and timeouts are measured
// by. It goes on while the machine is suspended and is not set by anyone, which
// neither the time of day nor Go's monotonic reading offers together.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

var source atomic.Pointer[func() time.Time]

// Now returns the time since the machine started as a time.Time. Only
// differences between two readings on one machine mean anything.
func Now() time.Time {
	if f := source.Load(); f != nil {
		return (*f)()
	}
	return sinceBoot()
}

// Replace makes Now read f, as tests on virtual time do, and returns a function
// that takes this back.
func Replace(f func() time.Time) (restore func()) {
	old := source.Swap(&f)
	return func() { source.Store(old) }
}

func sinceBoot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Sec, t.Nsec)
}

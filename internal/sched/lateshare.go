package sched

import "slices"

// lateShareGrants is the number of grants over which the share of late calls is
// averaged. A burst that is shorter than these grants take does not lead to the
// rejection of calls that are served after it.
const lateShareGrants = 256

// lateShare is a moving average of the fraction of grants that late calls get, or
// would get if any were waiting. It is low while calls that can meet their target
// keep arriving faster than they are served.
type lateShare float64

func (l *lateShare) record(late bool) {
	sample := lateShare(0)
	if late {
		sample = 1
	}
	*l += (sample - *l) / lateShareGrants
}

// value returns the share. The grants to the calls that have waited longest are a
// lower bound.
func (l lateShare) value() float64 { return max(1.0/oldestGrantInterval, float64(l)) }

// onTimeWaiting reports whether a call that can still meet its target is waiting.
func (s *Scheduler) onTimeWaiting() bool {
	return slices.ContainsFunc(s.waiting, func(w *waiter) bool { return !w.late && !w.granted })
}

package sched

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
)

// serviceSamples is the number of calls whose durations dominate a moving average
// of service times. The latest call has a weight of 1/serviceSamples.
const serviceSamples = 16

// CallKind is what the expected service time of a call depends on.
type CallKind struct {
	PrimaryOnly bool
	Writes      bool
	Priority    int
}

// KindOf returns the kind of a call.
func KindOf(c *engine.Call) CallKind {
	return CallKind{PrimaryOnly: c.PrimaryOnly, Writes: c.Statement.Writes(), Priority: c.Priority}
}

// serviceTimes holds moving averages of the durations of calls that occupied a
// slot, by kind.
type serviceTimes map[CallKind]*average

// observe adds the duration of a call. usual is the average over all kinds. It
// counts as one sample of a new kind, so that a first call that is unusually
// slow does not determine the average.
func (s serviceTimes) observe(k CallKind, took, usual time.Duration) {
	a := s[k]
	if a == nil {
		a = &average{value: usual, samples: 1}
		s[k] = a
	}
	a.add(took)
}

// expected returns the expected service time of a call, which is usual if no
// call of its kind has been measured.
func (s serviceTimes) expected(k CallKind, usual time.Duration) time.Duration {
	if a := s[k]; a != nil {
		return a.value
	}
	return usual
}

// average is a moving average. The first serviceSamples samples weigh the same.
type average struct {
	value   time.Duration
	samples int
}

func (a *average) add(sample time.Duration) {
	a.samples = min(a.samples+1, serviceSamples)
	a.value += (sample - a.value) / time.Duration(a.samples)
}

// expectedService returns the expected service time of a waiting call.
func (s *Scheduler) expectedService(w *waiter) time.Duration {
	return s.services.expected(w.kind, s.serviceTime)
}

package sched

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
)

// The parts of the expected time until an answer that are not measured for each
// endpoint, in units of the group's average work time of a call.
const (
	costDial    = 0.4  // dialling occupies a slot
	costEvict   = 0.75 // dialling plus the loss of another account's connection
	costPrimary = 0.2  // the primary's slots also serve writes
)

const (
	// workWeight is the weight of one answer in an endpoint's moving average,
	// and groupWorkWeight that in the group's.
	workWeight      = 0.1
	groupWorkWeight = 1.0 / 16
	// workValidity is how long a measured work time counts after the latest
	// answer. A slow endpoint gets no calls at low load, so that only time tells
	// that it may have recovered.
	workValidity = 10 * time.Second
	// dialRoundTrips is the number of round trips until a connection is open: one
	// of the transport and one of the protocol.
	dialRoundTrips = 2
	// txRoundTrips is the least number of round trips of a transaction: its
	// begin, one statement and its end.
	txRoundTrips = 3
)

// workTime is the moving average time that calls take at an endpoint or in a
// group, without the round trips. The service times include them.
type workTime struct {
	average time.Duration
	at      time.Time // time of the latest answer
}

func (w *workTime) record(now time.Time, took time.Duration, weight float64) {
	if w.average == 0 || now.Sub(w.at) > workValidity {
		w.average = took
	}
	w.average += time.Duration(weight * float64(took-w.average))
	w.at = now
}

// recordWork records the duration of a call that used a slot.
func (s *Scheduler) recordWork(now time.Time, e *endpoint, m EndpointObserved) {
	if m.RoundTrips == 0 {
		return
	}
	e.roundTrip.recordAnswer(now, m.Took, m.RoundTrips)
	took := max(0, m.Took-e.roundTrip.estimate(now)*time.Duration(m.RoundTrips))
	e.work.record(now, took, workWeight)
	s.work.record(now, took, groupWorkWeight)
}

// averageWork returns the group's average work time of a call.
func (s *Scheduler) averageWork() time.Duration {
	if s.work.average == 0 {
		return initialServiceTime
	}
	return s.work.average
}

// workAt returns the work time of a call at an endpoint. A measure below the
// group's average does not count: the calls differ, and an endpoint that got the
// short ones is not faster.
func (s *Scheduler) workAt(now time.Time, e *endpoint) time.Duration {
	average := s.averageWork()
	if now.Sub(e.work.at) > workValidity {
		return average
	}
	return max(average, e.work.average)
}

// expectedTime estimates the time until an endpoint has answered a call: the
// calls at its slots and the call itself, the round trips, and the cost of a
// connection.
func (s *Scheduler) expectedTime(now time.Time, e *endpoint, call *engine.Call) time.Duration {
	work, units := s.workAt(now, e), 0.0
	queue := time.Duration(float64(work) * float64(e.occupied(now)) / float64(max(1, e.Slots)))
	if e.ID == s.primary.Endpoint {
		units += costPrimary
	}
	connected := e.idleConn(call.Account) != nil
	switch {
	case connected:
	case len(e.conns) >= s.connShare():
		units += costEvict
	default:
		units += costDial
	}
	network := e.roundTrip.estimate(now) * time.Duration(roundTripsOf(call, connected))
	return queue + work + network + time.Duration(units*float64(s.averageWork()))
}

// roundTripsOf returns how many round trips a call takes.
func roundTripsOf(call *engine.Call, connected bool) int {
	n := 1
	if call.Phase == engine.First {
		n = txRoundTrips
	}
	if connected {
		return n
	}
	if len(call.Variables) > 0 {
		n++
	}
	if call.Statement.Op == engine.Execute {
		n++
	}
	return n + dialRoundTrips
}

package sched

import "time"

const (
	// roundTripSpan is the length of a period. The estimate is the shortest exchange
	// of the current and the previous period, so that a single slow exchange does not
	// determine it for long.
	roundTripSpan = 5 * time.Second
	// roundTripValidity is how long an estimate counts after the latest answer.
	// An endpoint whose only exchange was slow, because of a lost packet, gets
	// another chance then.
	roundTripValidity = time.Minute
)

// roundTrip estimates the round trip to an endpoint.
type roundTrip struct {
	current, previous time.Duration // shortest exchange of each period, zero for none
	since             time.Time     // start of the current period
	answeredAt        time.Time     // time of the latest answer
}

// record records the duration of an exchange that waits for no slot.
func (r *roundTrip) record(now time.Time, took time.Duration) {
	if age := now.Sub(r.since); age >= roundTripSpan {
		r.previous = r.current
		if age >= 2*roundTripSpan {
			r.previous = 0
		}
		r.current, r.since = 0, now
	}
	r.current, r.answeredAt = smallest(r.current, took), now
}

// recordAnswer records an answer that took at least the given number of round trips.
func (r *roundTrip) recordAnswer(now time.Time, took time.Duration, roundTrips int) {
	r.answeredAt = now
	if bound := took / time.Duration(roundTrips); r.current != 0 || r.previous != 0 {
		if bound < smallest(r.current, r.previous) {
			r.record(now, bound)
		}
	}
}

// estimate returns the round trip, or zero if it is not known.
func (r *roundTrip) estimate(now time.Time) time.Duration {
	if now.Sub(r.answeredAt) > roundTripValidity {
		return 0
	}
	return smallest(r.current, r.previous)
}

// smallest returns the smaller one of two durations that are known, which means
// above zero.
func smallest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

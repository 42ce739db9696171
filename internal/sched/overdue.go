package sched

import "time"

const (
	// overdueFactor is how many times longer than the longest recent answer of an
	// endpoint a call runs there before it counts as overdue.
	overdueFactor = 2
	// longestDecay is the fraction by which an answer lowers the longest recent one.
	longestDecay = 1.0 / 64
	// overduePause is how long overdue calls occupy their slots again after the
	// endpoint has refused a call for want of a slot.
	overduePause = time.Second
)

// answers is what the answers of an endpoint tell about the calls that run there. A
// call whose answer is lost seems to run until its timeout, while its slot at the
// endpoint is free.
type answers struct {
	longest     time.Duration // decaying maximum of the durations
	latestBegan time.Time     // when the latest of the answered calls began
	answeredAt  time.Time     // when the latest answer came
	countsUntil time.Time     // overdue calls occupy slots until then

	overdue   int       // overdue calls at countedAt
	countedAt time.Time // zero after a change of the endpoint's calls
}

func (a *answers) record(now, began time.Time, took time.Duration) {
	a.answeredAt, a.countedAt = now, time.Time{}
	a.longest = max(took, a.longest-time.Duration(longestDecay*float64(a.longest)))
	if began.After(a.latestBegan) {
		a.latestBegan = began
	}
}

// refused records that the endpoint had no free slot.
func (a *answers) refused(now time.Time) { a.countsUntil = now.Add(overduePause) }

// isOverdue reports whether the answer to a call that began at a time is most likely
// lost: it takes much longer than others, and the endpoint goes on answering calls
// that began later.
func (a *answers) isOverdue(now, began time.Time) bool {
	limit := overdueFactor * a.longest
	return limit > 0 && began.Before(a.latestBegan) && now.Sub(began) > limit && now.Sub(a.answeredAt) <= limit
}

// OverdueCalls returns how many calls run whose answer is most likely lost.
func (s *Scheduler) OverdueCalls(now time.Time) int {
	n := 0
	for _, e := range s.sorted {
		n += e.active - e.occupied(now)
	}
	return n
}

// occupied returns how many calls and dials occupy a slot of the endpoint.
func (e *endpoint) occupied(now time.Time) int {
	if e.active < e.Slots || now.Before(e.answers.countsUntil) {
		return e.active
	}
	if !e.answers.countedAt.Equal(now) {
		e.countOverdue(now)
	}
	return e.active - e.answers.overdue
}

// countOverdue counts the overdue calls. The count holds until the time or the
// state of a connection changes: a long queue asks for it many times in one update.
func (e *endpoint) countOverdue(now time.Time) {
	a := &e.answers
	a.overdue, a.countedAt = 0, now
	for _, c := range e.conns {
		if c.state == running && a.isOverdue(now, c.since) {
			a.overdue++
		}
	}
}

package sched

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// ownerColdShare is the share of a cold endpoint's rate that the owner of
	// the group spends. Two instances may own the group for a moment, and the
	// platform allows all instances together 1.5 times the rate.
	ownerColdShare = 0.7
	// nonOwnerColdShare is the share that another instance spends at a cold
	// primary. It sends nothing to a cold replica.
	nonOwnerColdShare = 0.1
	// coldBurst is the time whose tokens a cold endpoint's bucket holds at most, but
	// it holds at least one token.
	coldBurst = 100 * time.Millisecond
	// maxColdDebt is the time whose tokens may be taken in advance. The platform
	// counts the calls in any second.
	maxColdDebt = time.Second
	// tokenEpsilon absorbs rounding errors, so that a token is available
	// exactly when its time has come.
	tokenEpsilon = 1e-6
	// coldRetention is how long the state of an unlisted endpoint is kept. While
	// the store is unavailable, entries lapse for some seconds.
	coldRetention = time.Minute
)

// coldState limits the calls to an endpoint that is slow after its start or
// after an evacuation.
type coldState struct {
	startedAt  int64         // StartedAt of the latest entry
	left       time.Duration // ColdLeft of the latest entry
	unlistedAt time.Time     // zero while the endpoint is listed
	until      time.Time     // the server said that it is slow until then
	limiting   bool          // the tokens limit the calls
	tokens     float64       // calls that may be sent now, negative after calls in advance
	refilledAt time.Time
}

// coldStates holds the state of the endpoints that are listed or were recently.
type coldStates map[ident.Endpoint]*coldState

// update applies a new list of endpoints.
func (cs coldStates) update(now time.Time, listed []Endpoint) {
	seen := make(map[ident.Endpoint]bool, len(listed))
	for _, d := range listed {
		seen[d.ID] = true
		if cs[d.ID] == nil {
			cs[d.ID] = &coldState{}
		}
		cs[d.ID].setEntry(now, d)
	}
	for id, c := range cs {
		switch {
		case seen[id]:
		case c.unlistedAt.IsZero():
			c.unlistedAt = now
		case now.Sub(c.unlistedAt) > coldRetention:
			delete(cs, id)
		}
	}
}

// setEntry applies a directory entry. An entry that states the same remaining time as
// before was not updated, so the time is counted from the first one.
func (c *coldState) setEntry(now time.Time, d Endpoint) {
	c.unlistedAt = time.Time{}
	if c.startedAt != d.StartedAt || c.left != d.ColdLeft {
		c.startedAt, c.left, c.until = d.StartedAt, d.ColdLeft, now.Add(d.ColdLeft)
	}
}

// refill adds the tokens of the time since the last refill, at the given rate of
// calls a second. A bucket starts with one token.
func (c *coldState) refill(now time.Time, rate float64) {
	if !c.limiting {
		c.limiting, c.tokens, c.refilledAt = true, 1, now
		return
	}
	c.tokens = min(c.tokens+rate*now.Sub(c.refilledAt).Seconds(), max(1, rate*coldBurst.Seconds()))
	c.refilledAt = now
}

// isCold reports whether the endpoint is slow after its start, or has returned
// from an evacuation recently.
func (s *Scheduler) isCold(now time.Time, e *endpoint) bool {
	return now.Before(e.cold.until) || s.evacuations.returning(now, e.DataCentre, s.limits.ColdTime)
}

// coldRate returns how many calls a second this instance may send to a cold
// endpoint.
func (s *Scheduler) coldRate(e *endpoint) float64 {
	switch {
	case s.owner:
		return s.limits.ColdRate * ownerColdShare
	case e.ID == s.primary.Endpoint:
		return s.limits.ColdRate * nonOwnerColdShare
	}
	return 0
}

// coldAllows reports whether the endpoint may get a call now.
func (s *Scheduler) coldAllows(now time.Time, e *endpoint) bool {
	if s.limits.ColdRate <= 0 || !s.isCold(now, e) {
		e.cold.limiting = false
		return true
	}
	rate := s.coldRate(e)
	if rate == 0 {
		return false
	}
	e.cold.refill(now, rate)
	return e.cold.tokens >= 1-tokenEpsilon
}

// countCold takes a token for a statement that is sent to a cold endpoint. A
// further statement of an open transaction is sent in any case. It takes its
// token in advance.
func (s *Scheduler) countCold(now time.Time, e *endpoint) {
	s.coldAllows(now, e)
	if e.cold.limiting {
		e.cold.tokens = max(e.cold.tokens-1, -s.coldRate(e)*maxColdDebt.Seconds())
	}
}

// countResumed counts a further statement of an open transaction.
func (s *Scheduler) countResumed(now time.Time, id ConnID) {
	if c := s.conns[id]; c != nil {
		s.countCold(now, c.endpoint)
	}
}

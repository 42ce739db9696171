package sched

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
)

// usualSwitchTime is the usual time until a primary that has drained for too
// long is replaced. It is also the least retry time of calls that evacuations
// leave no endpoint for.
const usualSwitchTime = 500 * time.Millisecond

// servableAt returns when a call can be served at the earliest, disregarding the
// load: at once, or when the primary or an endpoint is expected back.
func (s *Scheduler) servableAt(now time.Time, c *engine.Call) time.Time {
	required := s.requirements(now, c)
	if required.verifyPrimary {
		return s.primaryUsableAt(now, c)
	}
	var earliest time.Time
	for _, e := range s.sorted {
		at := e.usableAt(now, c.Account)
		if e.readsPausedUntil.After(at) {
			at = e.readsPausedUntil
		}
		if e.ID == s.primary.Endpoint {
			at = s.primaryUsableAt(now, c)
		}
		if !e.leaving() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	if s.noReaderLeft() {
		return s.returnExpectedAt(now)
	}
	return earliest
}

// allAvailable reports whether the primary and all endpoints are available.
func (s *Scheduler) allAvailable(now time.Time) bool {
	return s.primary.Usable && !s.evacuationBlocks(now) && !slices.ContainsFunc(s.sorted, func(e *endpoint) bool {
		return now.Before(e.noDialUntil) || now.Before(e.readsPausedUntil) || e.drainExpired(now, s.limits.DrainTime)
	})
}

// primaryUsableAt returns when the primary can serve a call.
func (s *Scheduler) primaryUsableAt(now time.Time, c *engine.Call) time.Time {
	if s.noPrimaryLeft(now) {
		return s.returnExpectedAt(now)
	}
	if !s.primary.Usable {
		return s.primary.ExpectedAt
	}
	e := s.endpoints[s.primary.Endpoint]
	switch {
	case e == nil:
		return now
	case s.evacuationExpired(now, e):
		return s.returnExpectedAt(now)
	case e.drainExpired(now, s.limits.DrainTime):
		return now.Add(usualSwitchTime)
	}
	return e.usableAt(now, c.Account)
}

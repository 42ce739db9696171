package sched

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// A call that only evacuated endpoints could run is told to retry after the
	// time that they have been out of use, divided by evacuatedRetryDivisor.
	evacuatedRetryDivisor = 3
	// maxEvacuatedRetry limits that retry time, so that callers notice soon
	// that the request has been withdrawn.
	maxEvacuatedRetry = 2 * time.Second
)

// evacuation is what the scheduler has seen of one data centre's evacuations.
// It is kept for the data centre and not for each endpoint, because an endpoint
// may restart or be unlisted in the meantime.
type evacuation struct {
	since      time.Time // when Evacuated was first seen, zero while the data centre is in service
	unknown    bool      // Evacuated was set when the data centre was first listed, so since is later than the request
	returnedAt time.Time // when the latest evacuation ended, zero before the first one
}

// evacuations holds the state of all data centres in which an endpoint of the
// group has been listed.
type evacuations map[ident.DataCentre]*evacuation

// update applies a new list of endpoints. Data centres without a listed endpoint
// keep their state.
func (ev evacuations) update(now time.Time, listed []Endpoint) {
	evacuated := make(map[ident.DataCentre]bool)
	for _, d := range listed {
		evacuated[d.DataCentre] = evacuated[d.DataCentre] || d.Evacuated
	}
	for name, requested := range evacuated {
		e, known := ev[name]
		if !known {
			e = &evacuation{unknown: requested}
			ev[name] = e
		}
		switch {
		case requested && e.since.IsZero():
			e.since = now
		case !requested && !e.since.IsZero():
			*e = evacuation{returnedAt: now}
		}
	}
}

// any reports whether a data centre is evacuated.
func (ev evacuations) any() bool {
	for _, e := range ev {
		if !e.since.IsZero() {
			return true
		}
	}
	return false
}

// endsAt returns until when the endpoints of a data centre may be used, or false
// if that is not limited.
func (ev evacuations) endsAt(name ident.DataCentre, limit time.Duration) (time.Time, bool) {
	e := ev[name]
	switch {
	case limit == 0 || e == nil || e.since.IsZero():
		return time.Time{}, false
	case e.unknown:
		return e.since, true
	}
	return e.since.Add(limit), true
}

// evacuated reports whether the data centre of an endpoint is evacuated, also if
// the endpoint is not listed any more.
func (ev evacuations) evacuated(e *endpoint) bool {
	state := ev[e.DataCentre]
	return state != nil && !state.since.IsZero()
}

// returning reports whether a data centre returned from an evacuation less than
// limit ago.
func (ev evacuations) returning(now time.Time, name ident.DataCentre, limit time.Duration) bool {
	e := ev[name]
	return e != nil && !e.returnedAt.IsZero() && now.Sub(e.returnedAt) < limit
}

// leaving reports whether the endpoint gets no new reads and can't become the
// primary.
func (e *endpoint) leaving() bool { return e.Draining || e.Evacuated }

// evacuationExpired reports whether nothing more may be sent to the endpoint.
func (s *Scheduler) evacuationExpired(now time.Time, e *endpoint) bool {
	end, limited := s.evacuations.endsAt(e.DataCentre, s.limits.EvacuationTime)
	return limited && !now.Before(end)
}

// MayUse reports whether the evacuations permit a request on a connection. The
// time limit of an endpoint may pass between two calls of Update, so the caller
// asks before each request.
func (s *Scheduler) MayUse(now time.Time, id ConnID) bool {
	c := s.conns[id]
	return c == nil || !s.evacuationExpired(now, c.endpoint)
}

// expired reports whether the endpoint has been draining or evacuated for too
// long and may no longer be used.
func (s *Scheduler) expired(now time.Time, e *endpoint) bool {
	return e.drainExpired(now, s.limits.DrainTime) || s.evacuationExpired(now, e)
}

// leaveEvacuated closes the idle connections to evacuated endpoints. Once an
// endpoint may not be used any more, it also ends the calls that run there.
func (s *Scheduler) leaveEvacuated(now time.Time) {
	if !s.evacuating {
		return
	}
	var affected []ConnID
	for id, c := range s.conns {
		if s.evacuations.evacuated(c.endpoint) {
			affected = append(affected, id)
		}
	}
	slices.Sort(affected)
	for _, id := range affected {
		c := s.conns[id]
		switch {
		case c.state == idle:
			s.closeConn(c)
		case c.state == idleInTx && s.evacuationExpired(now, c.endpoint):
			s.remove(c)
			s.emit(AbortConn{Conn: id})
		case c.state == running && !c.aborted && s.evacuationExpired(now, c.endpoint):
			c.aborted = true
			s.emit(AbortConn{Conn: id})
		}
	}
}

// noReaderLeft reports whether evacuations leave no endpoint for reads that need
// not be current.
func (s *Scheduler) noReaderLeft() bool {
	evacuated := false
	for _, e := range s.sorted {
		if !e.leaving() {
			return false
		}
		evacuated = evacuated || e.Evacuated
	}
	return evacuated
}

// noPrimaryLeft reports whether evacuations leave no endpoint that may be the
// primary: the present one may not be used any more, and no other can take over.
func (s *Scheduler) noPrimaryLeft(now time.Time) bool {
	evacuated := false
	for _, e := range s.sorted {
		switch {
		case !e.leaving():
			return false
		case s.evacuationExpired(now, e):
			evacuated = true
		case e.ID == s.primary.Endpoint && s.primary.Usable && !e.drainExpired(now, s.limits.DrainTime):
			return false
		}
	}
	return evacuated
}

// unservable reports whether w has to be rejected: it can't be served before at,
// which is after its deadline, or evacuations leave no endpoint for it.
func (s *Scheduler) unservable(now time.Time, w *waiter, at time.Time) bool {
	return at.After(w.deadline) || s.evacuating && s.evacuationsExclude(now, w.call)
}

// evacuationsExclude reports whether evacuations leave no endpoint for a call.
func (s *Scheduler) evacuationsExclude(now time.Time, c *engine.Call) bool {
	if s.requirements(now, c).verifyPrimary {
		return s.noPrimaryLeft(now)
	}
	return s.noReaderLeft()
}

// evacuationBlocks reports whether evacuations leave no endpoint for some of the
// calls, or only one that can't take them yet.
func (s *Scheduler) evacuationBlocks(now time.Time) bool {
	if !s.evacuating {
		return false
	}
	primary := s.endpoints[s.primary.Endpoint]
	return s.noReaderLeft() || s.noPrimaryLeft(now) || primary != nil && s.evacuationExpired(now, primary)
}

// returnExpectedAt returns when a call should be tried again that no endpoint may
// run because of evacuations. Nobody knows when the operator withdraws the
// request, so the time grows with how long the endpoints have been out of use.
func (s *Scheduler) returnExpectedAt(now time.Time) time.Time {
	var latest time.Time
	for _, e := range s.sorted {
		if !s.evacuations.evacuated(e) {
			continue
		}
		end, limited := s.evacuations.endsAt(e.DataCentre, s.limits.EvacuationTime)
		if !limited {
			end = s.evacuations[e.DataCentre].since
		}
		if end.After(latest) {
			latest = end
		}
	}
	return now.Add(min(max(usualSwitchTime, now.Sub(latest)/evacuatedRetryDivisor), maxEvacuatedRetry))
}

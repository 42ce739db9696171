package sched

import "time"

const (
	// An endpoint is only ejected after minFailures failures that are at least one
	// of failureShareDivisor calls.
	minFailures         = 5
	failureShareDivisor = 5
	// outlierFactor is how many times higher its share of failures must be than
	// that of the rest of the group. A fault that all endpoints share, such as a
	// faulty program of an account, then ejects none.
	outlierFactor = 3
	// firstEjection is the duration of an ejection. It doubles up to maxEjection
	// if the endpoint fails again within maxEjection of its return.
	firstEjection = time.Second
	maxEjection   = 8 * time.Second
	// trialSuccesses is how many calls in a row an ejected endpoint must serve,
	// one at a time, before it gets all reads again.
	trialSuccesses = 3
)

// ejection is the state of an endpoint that failed more calls than the rest of
// the group.
type ejection struct {
	until      time.Time // when the trial begins, zero while the endpoint is in use
	length     time.Duration
	returnedAt time.Time
	cause      OutcomeCounts // the endpoint's outcomes that led to the ejection
	passed     int           // successful calls in a row during the trial
	trial      *conn         // connection of the latest read of the trial
	trialSince time.Time     // when that read was granted
}

// ejected reports whether the endpoint is ejected or on trial.
func (x *ejection) ejected() bool { return !x.until.IsZero() }

func (x *ejection) onTrial(now time.Time) bool { return x.ejected() && !now.Before(x.until) }

// start begins an ejection that was decided on the given outcomes.
func (x *ejection) start(now time.Time, own OutcomeCounts) {
	if x.ejected() || !x.returnedAt.IsZero() && now.Sub(x.returnedAt) < maxEjection {
		x.length = min(2*x.length, maxEjection)
	} else {
		x.length = firstEjection
	}
	x.until, x.passed, x.cause = now.Add(x.length), 0, own
}

func (x *ejection) end(now time.Time) {
	x.until, x.trial, x.returnedAt = time.Time{}, nil, now
}

// readGranted records a read of the trial.
func (x *ejection) readGranted(c *conn) {
	if x.ejected() {
		x.trial, x.trialSince = c, c.since
	}
}

// trialRunning reports whether a read of the trial runs, or a connection that
// it may use is being opened.
func (e *endpoint) trialRunning() bool {
	if c := e.ejection.trial; c != nil && e.conns[c.id] == c && c.state == running && c.since.Equal(e.ejection.trialSince) {
		return true
	}
	for _, c := range e.conns {
		if c.state == dialling {
			return true
		}
	}
	return false
}

// refusesReads reports whether the endpoint gets no read at present because of
// its failures. That never excludes the last usable endpoint.
func (s *Scheduler) refusesReads(now time.Time, e *endpoint, w *waiter) bool {
	switch {
	case !e.ejection.ejected():
		return false
	case e.ejection.onTrial(now) && (!e.trialRunning() || s.awaitsDial(w, e)):
		return false
	}
	return s.othersInUse(now, e)
}

// awaitsDial reports whether a connection to the endpoint is being opened for
// the call.
func (s *Scheduler) awaitsDial(w *waiter, e *endpoint) bool {
	c := s.conns[w.dial]
	return c != nil && c.endpoint == e && c.state == dialling
}

// othersInUse reports whether another endpoint than e takes reads.
func (s *Scheduler) othersInUse(now time.Time, e *endpoint) bool {
	for _, o := range s.sorted {
		switch {
		case o == e, o.leaving(), o.ejection.ejected():
		case now.Before(o.readsPausedUntil), now.Before(o.behindUntil):
		case o.ID == s.primary.Endpoint && !s.primary.Usable:
		default:
			return true
		}
	}
	return false
}

// recordOutcome counts an outcome and ejects an endpoint that fails more calls
// than the others, or returns one that serves its calls again.
func (s *Scheduler) recordOutcome(now time.Time, m EndpointOutcome) {
	e := s.endpoints[m.Endpoint]
	if e == nil || m.Result == NoFreeSlot && e.active > max(1, e.Slots) {
		return
	}
	e.outcomes.record(now, m)
	switch {
	case e.ejection.onTrial(now):
		s.continueTrial(now, e, m.Result == Succeeded)
	case !e.ejection.ejected() && m.Result != Succeeded:
		s.ejectOutlier(now, e)
		s.shortenEjections(now)
	}
}

// restOutcomes counts the outcomes of all endpoints except e.
func (s *Scheduler) restOutcomes(now time.Time, e *endpoint) OutcomeCounts {
	var rest OutcomeCounts
	for _, o := range s.sorted {
		if o != e {
			rest.add(o.outcomes.counts(now))
		}
	}
	return rest
}

func (s *Scheduler) ejectOutlier(now time.Time, e *endpoint) {
	own, rest := e.outcomes.counts(now), s.restOutcomes(now, e)
	if own.Failures() < minFailures || own.Failures()*failureShareDivisor < own.Calls() {
		return
	}
	if own.worseThan(rest, outlierFactor) && s.othersInUse(now, e) {
		s.eject(now, e, own, rest)
	}
}

func (s *Scheduler) eject(now time.Time, e *endpoint, own, rest OutcomeCounts) {
	e.ejection.start(now, own)
	s.emit(EndpointEjected{Endpoint: e.ID, For: e.ejection.length, Own: own, Rest: rest})
}

// continueTrial applies the outcome of a call at an endpoint on trial. A failure
// ejects it again unless the rest of the group has no success either.
func (s *Scheduler) continueTrial(now time.Time, e *endpoint, success bool) {
	own, rest := e.outcomes.counts(now), s.restOutcomes(now, e)
	if !success {
		e.ejection.passed = 0
		if rest.Succeeded > 0 {
			s.eject(now, e, own, rest)
		}
		return
	}
	e.ejection.passed++
	if e.ejection.passed < trialSuccesses {
		return
	}
	e.ejection.end(now)
	e.outcomes = outcomeWindow{}
	s.emit(EndpointReturned{Endpoint: e.ID, Own: own, Rest: rest})
}

// shortenEjections begins the trial of ejected endpoints at once when the rest
// of the group fails as they did.
func (s *Scheduler) shortenEjections(now time.Time) {
	for _, e := range s.sorted {
		if !e.ejection.ejected() || e.ejection.onTrial(now) {
			continue
		}
		if rest := s.restOutcomes(now, e); rest.Failures() >= minFailures && !e.ejection.cause.worseThan(rest, outlierFactor) {
			e.ejection.until = now
		}
	}
}

// Ejected returns how many endpoints are ejected or on trial.
func (s *Scheduler) Ejected() int {
	n := 0
	for _, e := range s.sorted {
		if e.ejection.ejected() {
			n++
		}
	}
	return n
}

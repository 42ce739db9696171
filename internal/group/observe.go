package group

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// fastProbeTime is how long probes stay frequent after a request lost its
// endpoint.
const fastProbeTime = time.Second

// detectPause detects that the process was paused: messages arrive at least
// with each Tick, so a long gap between two messages is a pause. Silence during
// a pause is no evidence about the servers, so their timers restart.
func (e *Elector) detectPause(now time.Time) {
	paused := !e.now.IsZero() && now.Sub(e.now) > e.bounds.LostAfter
	if !paused {
		return
	}
	e.lostSince, e.isolatedSince, e.unresolvedSince = time.Time{}, time.Time{}, time.Time{}
	for _, m := range e.members {
		m.failedProbes, m.refusedProbes = 0, 0
		m.answeredAt = moveForward(m.answeredAt, now)
	}
}

// moveForward returns now for a known instant; a zero one stays zero.
func moveForward(t, now time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return now
}

func (e *Elector) probeAnswered(s ProbeAnswered) {
	m := e.find(s.Endpoint)
	if m == nil {
		return
	}
	m.probing = false
	if m.setStatus(s.Status, s.Began, e.now) {
		e.learnTerm(m)
	}
	e.recordPosition(m)
	e.changed = true
}

func (e *Elector) probeFailed(p ProbeFailed) {
	m := e.find(p.Endpoint)
	if m == nil {
		return
	}
	m.probing = false
	if m.answeredAt.After(p.Began) {
		return // the endpoint has answered another call since
	}
	m.failedProbes++
	m.refusedProbes++
	if !p.Refused {
		m.refusedProbes = 0
	}
	if p.Refused && p.Endpoint == e.primary && e.now.Sub(m.answeredAt) < fastProbeTime {
		e.probeAllNow()
	}
	e.changed = e.changed || m.failedProbes == 1
}

// probeAllNow makes the next probe of every server due at once, to learn
// whether the other servers have lost the primary too.
func (e *Elector) probeAllNow() {
	for _, m := range e.members {
		m.probeNow = true
	}
}

func (e *Elector) statusObserved(o StatusObserved) {
	m := e.find(o.Endpoint)
	if m == nil {
		return
	}
	m.mergeStatus(o.Status, e.now)
	e.learnTerm(m)
	e.recordPosition(m)
	e.changed = true
}

// requestFailed makes probes frequent and the next one of the endpoint due at
// once. The failed request alone does not count as evidence.
func (e *Elector) requestFailed(f RequestFailed) {
	m := e.find(f.Endpoint)
	if m == nil || f.Term < e.term {
		return
	}
	e.fastProbeUntil = e.now.Add(fastProbeTime)
	m.probeNow = true
}

// peerStateReceived adopts a later term that a peer reported. This is a hint
// only: the endpoint's own term proves it.
func (e *Elector) peerStateReceived(p PeerStateReceived) {
	s := p.State
	if s.Group != e.group || s.Term < e.term {
		return
	}
	if s.Term == e.term && e.primary != "" {
		assert.That(s.Primary == e.primary || s.Primary == "", "GroupOnePrimaryInATerm",
			"group %s term %d: %s and %s", e.group, e.term, e.primary, s.Primary)
		return
	}
	m := e.find(s.Primary)
	if m == nil {
		return
	}
	e.adoptTerm(s.Term, s.Primary)
	m.probeNow = true
	e.issue(EmitEvent{Kind: PrimaryChanged, Endpoint: s.Primary, Cause: s.Cause, Note: "reported by a peer"})
}

// learnTerm updates term and primary from an endpoint's own answer.
func (e *Elector) learnTerm(m *member) {
	s := &m.status
	e.highest = max(e.highest, s.Term, s.Sealed)
	switch {
	case s.Role == PrimaryRole && s.Term > e.term,
		s.Role == PrimaryRole && s.Term == e.term && e.primary == "":
		e.emit(PrimaryChanged, m.endpoint.Name, e.ownAttemptEvent(s.Term), "seen by a probe")
		e.adoptTerm(s.Term, m.endpoint.Name)
		e.issue(Announce{Term: e.term, Primary: e.primary})
	case s.Role == PrimaryRole && s.Term == e.term:
		assert.That(e.primary == m.endpoint.Name, "GroupOnePrimaryInATerm",
			"group %s term %d: %s and %s", e.group, e.term, e.primary, m.endpoint.Name)
	case s.Term > e.term:
		e.adoptTerm(s.Term, "")
		e.fastProbeUntil = e.now.Add(fastProbeTime)
	}
}

// ownAttemptEvent returns the latest event of this instance's own attempt at
// term, whose reply was lost; empty for a term of another instance.
func (e *Elector) ownAttemptEvent(term ident.Term) event.Kind {
	if e.attempt != nil && e.attempt.term == term {
		return Sealed
	}
	return ""
}

// adoptTerm makes term the current term, with its primary if known.
func (e *Elector) adoptTerm(term ident.Term, primary ident.Endpoint) {
	e.term, e.primary, e.adoptedAt = term, primary, e.now
	e.highest = max(e.highest, term)
	e.lostSince, e.isolatedSince = time.Time{}, time.Time{}
	e.unresolvedSince, e.handOverSince = time.Time{}, time.Time{}
	e.retries = 0
	e.history = nil
	if e.attempt != nil && e.attempt.term <= term {
		e.attempt = nil
	}
	e.changed = true
}

package group

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// hurryFor is how long probes stay frequent after a request lost its endpoint.
const hurryFor = time.Second

// wake notices that the process was paused, as messages come at least with
// each Tick: silence during a pause is no evidence about anyone else.
func (w *Elector) wake(now time.Time) {
	paused := !w.now.IsZero() && now.Sub(w.now) > w.bounds.LostAfter
	if !paused {
		return
	}
	w.lostSince, w.cutSince, w.stuckSince = time.Time{}, time.Time{}, time.Time{}
	for _, m := range w.members {
		m.failed, m.refused = 0, 0
		m.answered = later(m.answered, now)
	}
}

// later moves a known instant forward to now; an unknown one stays unknown.
func later(t, now time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return now
}

func (w *Elector) statusSeen(s StatusSeen) {
	m := w.find(s.Endpoint)
	if m == nil {
		return
	}
	m.probing = false
	if m.take(s.Status, s.Began, w.now) {
		w.learn(m)
	}
	w.mark(m)
	w.dirty = true
}

func (w *Elector) probeFailed(p ProbeFailed) {
	m := w.find(p.Endpoint)
	if m == nil {
		return
	}
	m.probing = false
	if m.answered.After(p.Began) {
		return // something else was answered meanwhile
	}
	m.failed++
	m.refused++
	if !p.Refused {
		m.refused = 0
	}
	if p.Refused && p.Endpoint == w.primary && w.now.Sub(m.answered) < hurryFor {
		w.hurryAll()
	}
	w.dirty = w.dirty || m.failed == 1
}

// hurryAll asks every server at once, to learn whether the others miss the
// primary too.
func (w *Elector) hurryAll() {
	for _, m := range w.members {
		m.hurry = true
	}
}

func (w *Elector) observed(o Observed) {
	m := w.find(o.Endpoint)
	if m == nil {
		return
	}
	m.observe(o.Status, w.now)
	w.learn(m)
	w.mark(m)
	w.dirty = true
}

// workFailed makes the next probes come at once. What the request saw is no
// evidence by itself.
func (w *Elector) workFailed(f WorkFailed) {
	m := w.find(f.Endpoint)
	if m == nil || f.Term < w.term {
		return
	}
	w.hurryUntil = w.now.Add(hurryFor)
	m.hurry = true
}

// heard adopts a peer's later term as a hint; the endpoint's term proves it.
func (w *Elector) heard(h PeerStateReceived) {
	s := h.State
	if s.Group != w.group || s.Term < w.term {
		return
	}
	if s.Term == w.term && w.primary != "" {
		assert.That(s.Primary == w.primary || s.Primary == "", "GroupOnePrimaryInATerm",
			"group %s term %d: %s and %s", w.group, w.term, w.primary, s.Primary)
		return
	}
	m := w.find(s.Primary)
	if m == nil {
		return
	}
	w.adopt(s.Term, s.Primary)
	m.hurry = true
	w.put(EmitEvent{Kind: PrimaryChanged, Endpoint: s.Primary, Cause: s.Cause, Note: "told by a peer"})
}

// learn draws the term and the primary from an endpoint's own answer.
func (w *Elector) learn(m *member) {
	s := &m.status
	w.highest = max(w.highest, s.Term, s.Sealed)
	switch {
	case s.Role == PrimaryRole && s.Term > w.term,
		s.Role == PrimaryRole && s.Term == w.term && w.primary == "":
		w.emit(PrimaryChanged, m.endpoint.Name, w.attempted(s.Term), "seen by a probe")
		w.adopt(s.Term, m.endpoint.Name)
		w.put(Announce{Term: w.term, Primary: w.primary})
	case s.Role == PrimaryRole && s.Term == w.term:
		assert.That(w.primary == m.endpoint.Name, "GroupOnePrimaryInATerm",
			"group %s term %d: %s and %s", w.group, w.term, w.primary, m.endpoint.Name)
	case s.Term > w.term:
		w.adopt(s.Term, "")
		w.hurryUntil = w.now.Add(hurryFor)
	}
}

// attempted returns the latest event of this instance's own attempt at term,
// whose answer was lost; none for a term of another instance.
func (w *Elector) attempted(term ident.Term) event.Kind {
	if w.attempt != nil && w.attempt.term == term {
		return Sealed
	}
	return ""
}

// adopt puts a term and its primary in force.
func (w *Elector) adopt(term ident.Term, primary ident.Endpoint) {
	w.term, w.primary, w.adoptedAt = term, primary, w.now
	w.highest = max(w.highest, term)
	w.lostSince, w.cutSince = time.Time{}, time.Time{}
	w.stuckSince, w.leaveSince = time.Time{}, time.Time{}
	w.retries = 0
	w.trail = nil
	if w.attempt != nil && w.attempt.term <= term {
		w.attempt = nil
	}
	w.dirty = true
}

package group

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// attempt is one try to seal a term at a majority and to promote a server.
type attempt struct {
	term     ident.Term
	reason   reason
	begun    time.Time
	asked    int
	replies  int
	majority time.Time // when enough servers had sealed
	sealed   []sealedServer
	target   ident.Endpoint // set once Promote is out
}

type sealedServer struct {
	member *member
	status Status
}

// advance begins, continues or gives up an attempt.
func (w *Elector) advance() {
	if w.attempt != nil {
		w.proceed()
		return
	}
	if w.now.Before(w.retryAt) {
		return
	}
	if r := w.cause(); r != noReason {
		w.begin(r)
	}
}

func (w *Elector) begin(r reason) {
	term := ident.NextTerm(w.highest, w.self)
	w.highest = max(w.highest, term)
	w.attempt = &attempt{term: term, reason: r, begun: w.now, asked: len(w.members)}
	kind := r.kind()
	w.emit(kind, w.primary, "", fmt.Sprintf("%s, %d of %d servers miss the primary", w.note(w.term), w.votes(), len(w.members)))
	w.emit(SealAsked, "", kind, w.note(term))
	for _, m := range w.members {
		w.put(Seal{Endpoint: m.endpoint.Name, Term: term})
	}
}

// proceed promotes once enough servers have sealed the term.
func (w *Elector) proceed() {
	a := w.attempt
	if a.target != "" {
		w.expire(2 * w.bounds.CallTimeout)
		return
	}
	quorum := w.majority()
	if !w.rules.sealMajority {
		quorum = 1
	}
	if len(a.sealed) < quorum {
		w.expire(w.bounds.CallTimeout)
		return
	}
	if a.majority.IsZero() {
		a.majority = w.now
		w.emit(Sealed, "", SealAsked, fmt.Sprintf("%s at %d of %d servers", w.note(a.term), len(a.sealed), len(w.members)))
	}
	if !w.enough() && a.replies < a.asked && w.now.Sub(a.majority) < w.bounds.SealGrace {
		return
	}
	w.promote(w.choose(w.candidates()).member)
}

func (w *Elector) promote(m *member) {
	a := w.attempt
	assert.That(a.target == "", "GroupOnePromotionInATerm", "group %s term %d: %s and %s", w.group, a.term, a.target, m.endpoint.Name)
	a.target = m.endpoint.Name
	w.put(Promote{Endpoint: a.target, Term: a.term})
}

// enough reports whether more sealed servers would not make a better choice.
// Any sealed majority is safe; this is about a server that also stays, lacks
// nothing and is heard by the others.
func (w *Elector) enough() bool {
	if !w.rules.skipCutOff {
		return true
	}
	return w.avoidsPrimary() && len(w.others()) >= w.majority()
}

// avoidsPrimary reports whether the primary should not be promoted again: it
// is lost, or would not hand over at the last try.
func (w *Elector) avoidsPrimary() bool {
	return w.attempt.reason == primaryLost || w.attempt.reason == primaryLeaving && w.returned
}

// candidates returns the sealed servers to choose from. Each sealed majority
// holds every acknowledged write, so the primary can be left out when the
// others are one.
func (w *Elector) candidates() []sealedServer {
	others := w.others()
	if !w.rules.skipCutOff || !w.avoidsPrimary() || len(others) < w.majority() {
		return w.attempt.sealed
	}
	return others
}

// others returns the sealed servers but for the primary.
func (w *Elector) others() []sealedServer {
	others := make([]sealedServer, 0, len(w.attempt.sealed))
	for _, s := range w.attempt.sealed {
		if s.member.endpoint.Name != w.primary {
			others = append(others, s)
		}
	}
	return others
}

// choose returns the sealed server with the highest mark. Among equals one
// that stays goes before one that leaves, then the present primary first.
func (w *Elector) choose(sealed []sealedServer) sealedServer {
	best := sealed[0]
	for _, s := range sealed[1:] {
		if w.better(s, best) {
			best = s
		}
	}
	return best
}

func (w *Elector) better(s, than sealedServer) bool {
	if !w.rules.mostAdvanced {
		return false
	}
	if s.status.Last != than.status.Last {
		return s.status.Last.Covers(than.status.Last)
	}
	if s.member.leaving != than.member.leaving {
		return !s.member.leaving
	}
	return s.member.endpoint.Name == w.primary
}

func (w *Elector) sealDone(d SealDone) {
	a := w.attempt
	m := w.find(d.Endpoint)
	if m == nil {
		return
	}
	if d.Err == nil {
		m.live(w.now)
		m.status.Sealed = max(m.status.Sealed, d.Term)
	}
	if a == nil || a.term != d.Term {
		return
	}
	a.replies++
	if d.Err == nil {
		a.sealed = append(a.sealed, sealedServer{member: m, status: d.Status})
		return
	}
	m.hurry = true
	if errors.Is(d.Err, ErrSealed) {
		w.emit(SealRefused, d.Endpoint, SealAsked, w.note(d.Term))
	}
	if a.target == "" && a.hopeless(w.majority()) {
		w.giveUp()
	}
}

// hopeless reports whether too many servers did not seal for a majority.
func (a *attempt) hopeless(majority int) bool {
	return a.asked-a.replies+len(a.sealed) < majority
}

func (w *Elector) promoteDone(d PromoteDone) {
	m := w.find(d.Endpoint)
	if m == nil {
		return
	}
	m.hurry = true
	if d.Err != nil {
		w.emit(PromoteFailed, d.Endpoint, Sealed, d.Err.Error())
		if w.attempt != nil && w.attempt.term == d.Term {
			w.giveUp()
		}
		return
	}
	m.take(d.Status, w.now, w.now)
	w.dirty = true
	w.emit(Promoted, d.Endpoint, Sealed, w.note(d.Term))
	if d.Term <= w.term {
		return
	}
	w.returned = d.Endpoint == w.primary
	w.adopt(d.Term, d.Endpoint)
	w.emit(PrimaryChanged, d.Endpoint, Promoted, w.note(d.Term))
	w.put(Announce{Term: d.Term, Primary: d.Endpoint})
	for _, o := range w.members {
		if o != m {
			w.follow(o)
		}
	}
}

// expire gives up an attempt that has run for longer than bound.
func (w *Elector) expire(bound time.Duration) {
	if w.now.Sub(w.attempt.begun) > bound {
		w.giveUp()
	}
}

// giveUp ends the attempt. The next one waits longer each time, by a spread
// that differs between instances, so that two do not outbid each other for
// long.
func (w *Elector) giveUp() {
	wait := min(w.bounds.Backoff<<min(w.retries, 10), w.bounds.MaxBackoff)
	wait += time.Duration(float64(wait) * w.spread())
	w.retries++
	w.retryAt = w.now.Add(wait)
	w.attempt = nil
}

// spread returns a number in [0, 1) that depends on the instance and its
// latest term.
func (w *Elector) spread() float64 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%d", w.self, w.highest)
	return float64(h.Sum32()) / (1 << 32)
}

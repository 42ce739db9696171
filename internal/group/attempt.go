package group

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// attempt is one try to seal a term at a majority of the servers and to
// promote one of them.
type attempt struct {
	term       ident.Term
	reason     reason
	startedAt  time.Time
	requested  int
	replies    int
	majorityAt time.Time // when enough servers had sealed; zero before
	sealed     []sealedServer
	target     ident.Endpoint // set once Promote has been issued
}

type sealedServer struct {
	member *member
	status Status
}

// advanceAttempt begins, continues or abandons an attempt.
func (e *Elector) advanceAttempt() {
	if e.attempt != nil {
		e.continueAttempt()
		return
	}
	if e.now.Before(e.retryAt) {
		return
	}
	if r := e.attemptReason(); r != noReason {
		e.beginAttempt(r)
	}
}

func (e *Elector) beginAttempt(r reason) {
	term := ident.NextTerm(e.highest, e.self)
	e.highest = max(e.highest, term)
	e.attempt = &attempt{term: term, reason: r, startedAt: e.now, requested: len(e.members)}
	kind := r.eventKind()
	e.emit(kind, e.primary, "", fmt.Sprintf("%s, %d of %d servers have lost the primary", e.formatTerm(e.term), e.votes(), len(e.members)))
	e.emit(SealAsked, "", kind, e.formatTerm(term))
	for _, m := range e.members {
		e.issue(Seal{Endpoint: m.endpoint.Name, Term: term})
	}
}

// continueAttempt promotes a server once enough of them have sealed the term.
func (e *Elector) continueAttempt() {
	a := e.attempt
	if a.target != "" {
		e.abandonAfter(2 * e.bounds.CallTimeout)
		return
	}
	quorum := e.majority()
	if !e.safeguards.sealMajority {
		quorum = 1
	}
	if len(a.sealed) < quorum {
		e.abandonAfter(e.bounds.CallTimeout)
		return
	}
	if a.majorityAt.IsZero() {
		a.majorityAt = e.now
		e.emit(Sealed, "", SealAsked, fmt.Sprintf("%s at %d of %d servers", e.formatTerm(a.term), len(a.sealed), len(e.members)))
	}
	if !e.enoughSealed() && a.replies < a.requested && e.now.Sub(a.majorityAt) < e.bounds.SealGrace {
		return
	}
	e.promote(e.bestCandidate(e.candidates()).member)
}

func (e *Elector) promote(m *member) {
	a := e.attempt
	assert.That(a.target == "", "GroupOnePromotionInATerm", "group %s term %d: %s and %s", e.group, a.term, a.target, m.endpoint.Name)
	a.target = m.endpoint.Name
	e.issue(Promote{Endpoint: a.target, Term: a.term})
}

// enoughSealed reports whether waiting for more sealed servers can't lead to a
// better choice. Any sealed majority is safe. A better choice is a server that
// is not leaving, lacks no record and is reachable from the other servers.
func (e *Elector) enoughSealed() bool {
	if !e.safeguards.skipIsolated {
		return true
	}
	return e.avoidsPrimary() && len(e.sealedReplicas()) >= e.majority()
}

// avoidsPrimary reports whether the current primary should not be promoted
// again: it is lost, or the previous attempt to hand over promoted it again.
func (e *Elector) avoidsPrimary() bool {
	return e.attempt.reason == primaryLost || e.attempt.reason == primaryLeaving && e.repromoted
}

// candidates returns the sealed servers to choose from. Each sealed majority
// holds every acknowledged write, so the primary can be left out when the
// other servers form a majority.
func (e *Elector) candidates() []sealedServer {
	replicas := e.sealedReplicas()
	if !e.safeguards.skipIsolated || !e.avoidsPrimary() || len(replicas) < e.majority() {
		return e.attempt.sealed
	}
	return replicas
}

// sealedReplicas returns the sealed servers without the current primary.
func (e *Elector) sealedReplicas() []sealedServer {
	replicas := make([]sealedServer, 0, len(e.attempt.sealed))
	for _, s := range e.attempt.sealed {
		if s.member.endpoint.Name != e.primary {
			replicas = append(replicas, s)
		}
	}
	return replicas
}

// bestCandidate returns the sealed server with the highest log position. Among
// equals it prefers a server that is not leaving, then the current primary.
func (e *Elector) bestCandidate(sealed []sealedServer) sealedServer {
	best := sealed[0]
	for _, s := range sealed[1:] {
		if e.better(s, best) {
			best = s
		}
	}
	return best
}

func (e *Elector) better(s, other sealedServer) bool {
	if !e.safeguards.mostAdvanced {
		return false
	}
	if s.status.Last != other.status.Last {
		return s.status.Last.Covers(other.status.Last)
	}
	if s.member.leaving != other.member.leaving {
		return !s.member.leaving
	}
	return s.member.endpoint.Name == e.primary
}

func (e *Elector) sealDone(d SealDone) {
	a := e.attempt
	m := e.find(d.Endpoint)
	if m == nil {
		return
	}
	if d.Err == nil {
		m.markAnswered(e.now)
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
	m.probeNow = true
	if errors.Is(d.Err, ErrSealed) {
		e.emit(SealRefused, d.Endpoint, SealAsked, e.formatTerm(d.Term))
	}
	if a.target == "" && a.cannotReachMajority(e.majority()) {
		e.abandonAttempt()
	}
}

// cannotReachMajority reports whether so many servers failed to seal that the
// remaining replies can't complete a majority.
func (a *attempt) cannotReachMajority(majority int) bool {
	return a.requested-a.replies+len(a.sealed) < majority
}

func (e *Elector) promoteDone(d PromoteDone) {
	m := e.find(d.Endpoint)
	if m == nil {
		return
	}
	m.probeNow = true
	if d.Err != nil {
		e.emit(PromoteFailed, d.Endpoint, Sealed, d.Err.Error())
		if e.attempt != nil && e.attempt.term == d.Term {
			e.abandonAttempt()
		}
		return
	}
	m.setStatus(d.Status, e.now, e.now)
	e.changed = true
	e.emit(Promoted, d.Endpoint, Sealed, e.formatTerm(d.Term))
	if d.Term <= e.term {
		return
	}
	e.repromoted = d.Endpoint == e.primary
	e.adoptTerm(d.Term, d.Endpoint)
	e.emit(PrimaryChanged, d.Endpoint, Promoted, e.formatTerm(d.Term))
	e.issue(Announce{Term: d.Term, Primary: d.Endpoint})
	for _, o := range e.members {
		if o != m {
			e.sendFollow(o)
		}
	}
}

// abandonAfter abandons an attempt that has run for longer than bound.
func (e *Elector) abandonAfter(bound time.Duration) {
	if e.now.Sub(e.attempt.startedAt) > bound {
		e.abandonAttempt()
	}
}

// abandonAttempt ends the attempt. The delay before the next one doubles each
// time and includes a jitter that differs between instances, so that two
// instances do not keep outbidding each other's terms.
func (e *Elector) abandonAttempt() {
	wait := min(e.bounds.Backoff<<min(e.retries, 10), e.bounds.MaxBackoff)
	wait += time.Duration(float64(wait) * e.jitter())
	e.retries++
	e.retryAt = e.now.Add(wait)
	e.attempt = nil
}

// jitter returns a number in [0, 1) derived from the instance's name and the
// highest term it knows.
func (e *Elector) jitter() float64 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%d", e.self, e.highest)
	return float64(h.Sum32()) / (1 << 32)
}

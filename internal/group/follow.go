package group

import "time"

// repointReplicas sends Follow to servers that have no primary or are in a
// lower term. The instance that is first in rank acts at once, the others
// after their takeover delay.
func (e *Elector) repointReplicas() {
	if !e.safeguards.repointReplicas || !e.primaryHealthy() {
		return
	}
	for _, m := range e.members {
		stray := m.endpoint.Name != e.primary && m.answeredRecently(e.now, &e.bounds) && e.notFollowing(m)
		trackSince(&m.notFollowingSince, stray, e.now)
		if e.due(m.notFollowingSince, e.followDelay(m)) {
			e.sendFollow(m)
		}
	}
}

// followDelay returns how long a server may fail to follow the primary before
// it is sent a Follow. For a server in the current term that receives nothing
// from the primary the delay is long: each Follow may restart its measure of
// silence, and then the votes would not show that the primary is isolated.
func (e *Elector) followDelay(m *member) time.Duration {
	if m.status.Term < e.term {
		return 0
	}
	return e.bounds.FollowAgain
}

// notFollowing reports whether the endpoint's latest answer shows that it does
// not replicate from the current primary.
func (e *Elector) notFollowing(m *member) bool {
	if m.statusBegan.Before(e.adoptedAt) || m.status.Sealed > e.term {
		return false
	}
	return m.status.Term < e.term || m.status.PrimaryHeard >= e.bounds.SilentAfter
}

func (e *Elector) sendFollow(m *member) {
	p := e.find(e.primary)
	if p == nil || m.following || e.now.Before(m.nextFollowAt) {
		return
	}
	m.following = true
	m.notFollowingSince = time.Time{}
	m.nextFollowAt = e.now.Add(e.bounds.FollowEvery)
	e.issue(Follow{Endpoint: m.endpoint.Name, Term: e.term, Address: p.endpoint.Address})
}

func (e *Elector) followDone(d FollowDone) {
	m := e.find(d.Endpoint)
	if m == nil {
		return
	}
	m.following = false
	m.probeNow = true
	if d.Err == nil {
		e.emit(Followed, d.Endpoint, PrimaryChanged, e.formatTerm(d.Term))
	}
}

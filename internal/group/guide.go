package group

import "time"

// guide tells servers that work for no or a lower term to follow the primary,
// those first in rank at once and the others in their turn.
func (w *Elector) guide() {
	if !w.rules.guideFollowers || !w.healthy() {
		return
	}
	for _, m := range w.members {
		strays := m.endpoint.Name != w.primary && m.fresh(w.now, &w.bounds) && w.strays(m)
		since(&m.strayedAt, strays, w.now)
		if w.due(m.strayedAt, w.patience(m)) {
			w.follow(m)
		}
	}
}

// patience is how long a server may stray before it is told to follow. One
// that follows the present term and hears nothing is left alone for long: a
// new start could hide from the count of votes that the primary is cut off.
func (w *Elector) patience(m *member) time.Duration {
	if m.status.Term < w.term {
		return 0
	}
	return w.bounds.FollowAgain
}

// strays reports whether the endpoint's latest answer shows that it does not
// replicate from the present primary.
func (w *Elector) strays(m *member) bool {
	if m.began.Before(w.adoptedAt) || m.status.Sealed > w.term {
		return false
	}
	return m.status.Term < w.term || m.status.PrimaryHeard >= w.bounds.Unheard
}

func (w *Elector) follow(m *member) {
	p := w.find(w.primary)
	if p == nil || m.following || w.now.Before(m.followAt) {
		return
	}
	m.following = true
	m.strayedAt = time.Time{}
	m.followAt = w.now.Add(w.bounds.FollowEvery)
	w.put(Follow{Endpoint: m.endpoint.Name, Term: w.term, Address: p.endpoint.Address})
}

func (w *Elector) followDone(d FollowDone) {
	m := w.find(d.Endpoint)
	if m == nil {
		return
	}
	m.following = false
	m.hurry = true
	if d.Err == nil {
		w.emit(Followed, d.Endpoint, PrimaryChanged, w.note(d.Term))
	}
}

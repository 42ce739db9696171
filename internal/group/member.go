package group

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// member is what Elector knows of one endpoint.
type member struct {
	endpoint envdoc.Endpoint
	leaving  bool
	// status is the latest answer, to a probe that began at began.
	status Status
	began  time.Time
	// answered is when the endpoint last answered anything.
	answered time.Time
	// failed counts the probes that failed since.
	failed int
	// refused counts the latest of them, in a row, that were refused a
	// connection.
	refused int
	// probing is true while a Probe is under way; the latest began at
	// probedAt. hurry asks for the next one at once.
	probing  bool
	probedAt time.Time
	hurry    bool
	// following is true while a Follow is under way.
	following bool
	followAt  time.Time
	// strayedAt is since when the endpoint does not follow the primary.
	strayedAt time.Time
}

func (m *member) known() bool { return !m.answered.IsZero() }

// fresh reports whether the latest answer still counts as evidence.
func (m *member) fresh(now time.Time, bounds *Bounds) bool {
	return m.known() && m.failed == 0 && now.Sub(m.began) <= bounds.VoteFresh
}

// missed reports whether this instance misses the endpoint: by time and by
// count, so that neither one lost probe nor a pause of the process suffices.
func (m *member) missed(now time.Time, bounds *Bounds) bool {
	silence := now.Sub(m.answered)
	if m.refuses(bounds) {
		return silence >= bounds.RefusedAfter
	}
	return m.failed >= bounds.LostCount && silence >= bounds.LostAfter
}

// refuses reports whether nobody listens at the endpoint's address.
func (m *member) refuses(bounds *Bounds) bool { return m.refused >= bounds.LostCount }

// live notes that the endpoint answered something.
func (m *member) live(now time.Time) { m.answered, m.failed, m.refused = now, 0, 0 }

// take notes the answer to a probe. Answers that overtook one another are
// told apart by the start of their probes.
func (m *member) take(status Status, began, now time.Time) bool {
	m.live(now)
	if began.Before(m.began) {
		return false
	}
	m.status, m.began = status, began
	return true
}

// observe merges what came along with other work. It proves that the endpoint
// lives and may only raise what is known.
func (m *member) observe(status Status, now time.Time) {
	if status.Term < m.status.Term {
		return
	}
	m.live(now)
	if status.Term > m.status.Term {
		m.status = status
		return
	}
	if status.Last.Covers(m.status.Last) {
		m.status.Last = status.Last
	}
	m.status.Confirmed = max(m.status.Confirmed, status.Confirmed)
	m.status.Sealed = max(m.status.Sealed, status.Sealed)
}

// leads reports whether the endpoint said that it is the primary of term and
// that no higher term is sealed on it.
func (m *member) leads(term ident.Term) bool {
	return m.status.Role == PrimaryRole && m.status.Term == term && m.status.Sealed <= term
}

package group

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// member is the state that Elector holds about one endpoint.
type member struct {
	endpoint envdoc.Endpoint
	leaving  bool
	// status is the latest answer, to a probe that began at statusBegan.
	status      Status
	statusBegan time.Time
	// answeredAt is when the endpoint last answered any call; zero before.
	answeredAt time.Time
	// failedProbes counts the probes that have failed since answeredAt.
	failedProbes int
	// refusedProbes counts how many of the latest of them, consecutively,
	// failed because the connection was refused.
	refusedProbes int
	// probing is true while a Probe is in flight; the latest began at
	// probedAt. probeNow makes the next one due at once.
	probing  bool
	probedAt time.Time
	probeNow bool
	// following is true while a Follow is in flight; the next one is sent no
	// earlier than nextFollowAt.
	following    bool
	nextFollowAt time.Time
	// notFollowingSince is since when the endpoint has not followed the
	// primary; zero while it does.
	notFollowingSince time.Time
}

func (m *member) hasAnswered() bool { return !m.answeredAt.IsZero() }

// answeredRecently reports whether the latest answer is recent enough to count
// as evidence.
func (m *member) answeredRecently(now time.Time, bounds *Bounds) bool {
	return m.hasAnswered() && m.failedProbes == 0 && now.Sub(m.statusBegan) <= bounds.VoteFresh
}

// unresponsive reports whether the endpoint has failed to answer for long
// enough and often enough. Requiring both makes sure that neither a single lost
// probe nor a pause of this process suffices.
func (m *member) unresponsive(now time.Time, bounds *Bounds) bool {
	silence := now.Sub(m.answeredAt)
	if m.refusesConnections(bounds) {
		return silence >= bounds.RefusedAfter
	}
	return m.failedProbes >= bounds.LostCount && silence >= bounds.LostAfter
}

// refusesConnections reports whether no process listens at the endpoint's
// address.
func (m *member) refusesConnections(bounds *Bounds) bool { return m.refusedProbes >= bounds.LostCount }

// markAnswered records that the endpoint answered a call.
func (m *member) markAnswered(now time.Time) {
	m.answeredAt, m.failedProbes, m.refusedProbes = now, 0, 0
}

// setStatus records the answer to a probe and reports whether it is the latest.
// Answers may overtake one another; the start of their probes orders them.
func (m *member) setStatus(status Status, began, now time.Time) bool {
	m.markAnswered(now)
	if began.Before(m.statusBegan) {
		return false
	}
	m.status, m.statusBegan = status, began
	return true
}

// mergeStatus merges a status that arrived with the answer to a request, which
// proves that the endpoint answers. A status of a lower term is ignored, and one
// of the same term only raises known values.
func (m *member) mergeStatus(status Status, now time.Time) {
	if status.Term < m.status.Term {
		return
	}
	m.markAnswered(now)
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

// isPrimary reports whether the endpoint's latest status shows that it is the
// primary of term and has sealed no higher term.
func (m *member) isPrimary(term ident.Term) bool {
	return m.status.Role == PrimaryRole && m.status.Term == term && m.status.Sealed <= term
}

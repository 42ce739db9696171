package sched

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// minPrimaryCalls is the number of statements that must have run at the
	// primary within outcomeSpan before their failures count against it.
	minPrimaryCalls = 10
	// minFailedAccounts is the number of accounts that these failures must come
	// from. A faulty program of one account then causes no change of primary.
	minFailedAccounts = 3
)

// PrimaryFailing reports that the primary fails most statements of several
// accounts, while another endpoint may serve them.
type PrimaryFailing struct {
	Endpoint ident.Endpoint
	Outcomes OutcomeCounts
	Accounts int
	// Unfit are the other endpoints that fail statements themselves.
	Unfit []ident.Endpoint
}

func (PrimaryFailing) message() {}

// FailingPrimary returns the primary if it fails most statements. Refusals as
// busy do not count, because another primary would get the same load.
func (s *Scheduler) FailingPrimary(now time.Time) (PrimaryFailing, bool) {
	e := s.endpoints[s.primary.Endpoint]
	if e == nil || !s.primary.Usable {
		return PrimaryFailing{}, false
	}
	m := PrimaryFailing{Endpoint: e.ID, Outcomes: e.outcomes.counts(now)}
	failed := m.Outcomes.Failed + m.Outcomes.Unanswered
	ran := m.Outcomes.Succeeded + failed
	if ran < minPrimaryCalls || 2*failed <= ran {
		return PrimaryFailing{}, false
	}
	if m.Accounts = e.outcomes.failedAccounts(now); m.Accounts < minFailedAccounts {
		return PrimaryFailing{}, false
	}
	fit := 0
	for _, o := range s.sorted {
		switch {
		case o == e:
		case o.failsCalls(now):
			m.Unfit = append(m.Unfit, o.ID)
		case !o.leaving():
			fit++
		}
	}
	return m, fit > 0
}

// failsCalls reports whether the endpoint is ejected, can't be reached, or
// fails at least one of failureShareDivisor statements.
func (e *endpoint) failsCalls(now time.Time) bool {
	own := e.outcomes.counts(now)
	failed := own.Failed + own.Unanswered
	return e.ejection.ejected() || now.Before(e.readsPausedUntil) || failed > 0 && failed*failureShareDivisor >= own.Calls()
}

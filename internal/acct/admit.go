package acct

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	shortestRetry = 5 * time.Millisecond
	usualSpread   = 20 * time.Millisecond
	longestRetry  = 5 * time.Second
	// spendWait is how long SpendWait waits for tokens of other instances.
	spendWait = 5 * time.Millisecond
)

// Admission is the Admitter of a running instance: Authenticator answers about
// keys and routes, Limiter about rates and bursts.
type Admission struct {
	book    *Authenticator
	limiter *Limiter
	wake    func()
	clock   func() time.Time
}

var _ Admitter = (*Admission)(nil)

// NewAdmission returns the gate. Wake asks for a TokensShort and must not
// block; clock is read by SpendWait alone, after it has waited.
func NewAdmission(book *Authenticator, limiter *Limiter, wake func(), clock func() time.Time) *Admission {
	return &Admission{book: book, limiter: limiter, wake: wake, clock: clock}
}

// Login implements Admitter. It also makes the instance look for tokens of the
// account before its first request.
func (a *Admission) Login(route ident.Route, account ident.Account, key string, _ time.Time) (Identity, error) {
	badge, err := a.book.Login(route, account, key)
	if l := a.limiter.of(badge.Account); err == nil && l != nil {
		a.short(l)
	}
	return badge, err
}

// short notes the shortage; only the first one since Quota looked wakes it.
func (a *Admission) short(l *limit) {
	if !l.short.Swap(true) {
		a.wake()
	}
}

// Check implements Admitter.
func (a *Admission) Check(badge *Identity, _ time.Time) error { return a.book.Check(badge) }

// Weight implements Admitter.
func (a *Admission) Weight(badge *Identity) int { return a.book.Weight(badge) }

// Spend implements Admitter.
func (a *Admission) Spend(badge *Identity, now time.Time) error {
	l, s, err := a.try(badge, now)
	if l == nil {
		return err
	}
	l.missed.Add(1)
	a.short(l)
	return refuse(l, s, a.limiter.at(now))
}

// SpendWait implements Admitter. It allocates only when it waits.
func (a *Admission) SpendWait(ctx context.Context, badge *Identity, now time.Time) error {
	l, s, err := a.try(badge, now)
	if l == nil {
		return err
	}
	return a.wait(ctx, l, s, badge, now)
}

// try takes a token that is here. Without one it returns the limit that has
// run out, and its supply; otherwise the limit is nil and err is the answer.
func (a *Admission) try(badge *Identity, now time.Time) (l *limit, s *supply, err error) {
	if badge.Account == "" {
		return nil, nil, nil
	}
	l = a.limiter.of(badge.Account)
	if l == nil {
		return nil, nil, a.unknown(badge)
	}
	l.tried.Add(1)
	s = l.supply.Load()
	if a.take(l, s, a.limiter.at(now)) {
		return nil, nil, nil
	}
	return l, s, nil
}

func (a *Admission) wait(ctx context.Context, l *limit, s *supply, badge *Identity, now time.Time) error {
	l.waiting.Add(1)
	defer l.waiting.Add(-1)
	a.short(l)
	deadline := now.Add(spendWait)
	timer := time.NewTimer(a.pause(s, now, deadline))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return refuse(l, s, a.limiter.at(a.clock()))
		case <-s.replaced:
		case <-timer.C:
		}
		now = a.clock()
		s = l.supply.Load()
		if a.take(l, s, a.limiter.at(now)) {
			return nil
		}
		if !now.Before(deadline) {
			return refuse(l, s, a.limiter.at(now))
		}
		timer.Reset(a.pause(s, now, deadline))
	}
}

func (a *Admission) take(l *limit, s *supply, at int64) bool {
	ok, drained := s.spend(at)
	if drained {
		a.short(l)
	}
	return ok
}

// pause returns how long to wait at most for the next attempt.
func (a *Admission) pause(s *supply, now, deadline time.Time) time.Duration {
	return min(deadline.Sub(now), time.Duration(max(int64(spendWait/10), s.wait(a.limiter.at(now)))))
}

// Refund implements Admitter. The request must have been admitted less than
// returnWindow ago; a token that could add to the account's burst is dropped.
func (a *Admission) Refund(badge *Identity, now time.Time) {
	if l := a.limiter.of(badge.Account); l != nil {
		l.supply.Load().giveBack(a.limiter.at(now))
	}
}

func (a *Admission) unknown(badge *Identity) error {
	if a.book.Open(badge.Route) {
		return nil
	}
	return fault.Refuse(fault.BadKey, 0, "the key is not in force for this account")
}

// refuse tells when to come back: when the next token is due here, and spread
// so that those refused do not come at once.
func refuse(l *limit, s *supply, at int64) error {
	l.refused.Add(1)
	l.refusals.Inc()
	wait := min(longestRetry, time.Duration(s.wait(at)))
	spread := max(usualSpread, time.Duration(l.spread.Load()))
	retry := max(shortestRetry, wait) + rand.N(spread)
	return fault.Refuse(fault.OverLimit, retry, "the account's rate and burst are used up")
}

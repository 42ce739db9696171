package acct

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	minRetry       = 5 * time.Millisecond
	minRetrySpread = 20 * time.Millisecond
	maxRetry       = 5 * time.Second
	// maxSpendWait is how long SpendWait waits for tokens of other instances.
	maxSpendWait = 5 * time.Millisecond
	// unknownLimitRetry is the retry delay of requests of an account whose
	// limit is not in force yet.
	unknownLimitRetry = 100 * time.Millisecond
)

// Admission is the Admitter of a running instance. Authenticator checks keys
// and routes, Limiter enforces rates and bursts.
type Admission struct {
	authenticator *Authenticator
	limiter       *Limiter
	wake          func()
	clock         func() time.Time
}

var _ Admitter = (*Admission)(nil)

// NewAdmission returns an Admission. wake must make the runner send a
// TokensShort to Quota and must not block. clock is read only by SpendWait,
// after it has waited.
func NewAdmission(authenticator *Authenticator, limiter *Limiter, wake func(), clock func() time.Time) *Admission {
	return &Admission{authenticator: authenticator, limiter: limiter, wake: wake, clock: clock}
}

// Login implements Admitter. It also makes the instance borrow tokens for the
// account before its first request.
func (a *Admission) Login(route ident.Route, account ident.Account, key string, _ time.Time) (Identity, error) {
	identity, err := a.authenticator.Login(route, account, key)
	if l := a.limiter.limitOf(identity.Account); err == nil && l != nil {
		a.reportShortage(l)
	}
	return identity, err
}

// reportShortage marks the account as short of tokens. It wakes the runner only
// if Quota has handled the previous shortage.
func (a *Admission) reportShortage(l *accountLimit) {
	if !l.shortage.Swap(true) {
		a.wake()
	}
}

// Check implements Admitter.
func (a *Admission) Check(identity *Identity, _ time.Time) error {
	return a.authenticator.Check(identity)
}

// Weight implements Admitter.
func (a *Admission) Weight(identity *Identity) int { return a.authenticator.Weight(identity) }

// Spend implements Admitter.
func (a *Admission) Spend(identity *Identity, now time.Time) error {
	l, s, err := a.trySpend(identity, now)
	if l == nil {
		return err
	}
	l.missed.Add(1)
	a.reportShortage(l)
	return refuse(l, s, a.limiter.nanos(now))
}

// SpendWait implements Admitter. It allocates only when it waits.
func (a *Admission) SpendWait(ctx context.Context, identity *Identity, now time.Time) error {
	l, s, err := a.trySpend(identity, now)
	if l == nil {
		return err
	}
	return a.wait(ctx, l, s, identity, now)
}

// trySpend takes a token that is available on this instance. If there is none,
// it returns the exhausted limit and its token sources; otherwise l is nil and
// err is the result.
func (a *Admission) trySpend(identity *Identity, now time.Time) (l *accountLimit, s *tokenSources, err error) {
	if identity.Account == "" {
		return nil, nil, nil
	}
	l = a.limiter.limitOf(identity.Account)
	if l == nil {
		return nil, nil, a.spendWithoutLimit(identity)
	}
	l.attempts.Add(1)
	s = l.sources.Load()
	if a.spendFrom(l, s, a.limiter.nanos(now)) {
		return nil, nil, nil
	}
	return l, s, nil
}

func (a *Admission) wait(ctx context.Context, l *accountLimit, s *tokenSources, identity *Identity, now time.Time) error {
	l.waiting.Add(1)
	defer l.waiting.Add(-1)
	a.reportShortage(l)
	deadline := now.Add(maxSpendWait)
	timer := time.NewTimer(a.retryDelay(s, now, deadline))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return refuse(l, s, a.limiter.nanos(a.clock()))
		case <-s.replaced:
		case <-timer.C:
		}
		now = a.clock()
		s = l.sources.Load()
		if a.spendFrom(l, s, a.limiter.nanos(now)) {
			return nil
		}
		if !now.Before(deadline) {
			return refuse(l, s, a.limiter.nanos(now))
		}
		timer.Reset(a.retryDelay(s, now, deadline))
	}
}

func (a *Admission) spendFrom(l *accountLimit, s *tokenSources, at int64) bool {
	ok, drained := s.spend(at)
	if drained {
		a.reportShortage(l)
	}
	return ok
}

// retryDelay returns the longest wait before the next attempt to spend.
func (a *Admission) retryDelay(s *tokenSources, now, deadline time.Time) time.Duration {
	return min(deadline.Sub(now), time.Duration(max(int64(maxSpendWait/10), s.wait(a.limiter.nanos(now)))))
}

// Refund implements Admitter. The request must have been admitted less than
// refundWindow ago. A token that could raise the account's burst is dropped.
func (a *Admission) Refund(identity *Identity, now time.Time) {
	if l := a.limiter.limitOf(identity.Account); l != nil {
		l.sources.Load().refund(a.limiter.nanos(now))
	}
}

// spendWithoutLimit returns the result of a request of an account that has no
// limit on this instance. A new document puts keys in force slightly before
// limits, so a valid key may arrive in between.
func (a *Admission) spendWithoutLimit(identity *Identity) error {
	if a.authenticator.IsOpen(identity.Route) {
		return nil
	}
	if err := a.authenticator.Check(identity); err != nil {
		return err
	}
	return fault.Refuse(fault.NoPrimary, unknownLimitRetry, "the quota of the account is not in force yet")
}

// refuse returns an OverLimit error whose RetryIn is when the next token is due
// on this instance, plus a random delay so that refused callers do not retry at
// once.
func refuse(l *accountLimit, s *tokenSources, at int64) error {
	l.refused.Add(1)
	l.refusals.Inc()
	wait := min(maxRetry, time.Duration(s.wait(at)))
	spread := max(minRetrySpread, time.Duration(l.retrySpread.Load()))
	retry := max(minRetry, wait) + rand.N(spread)
	return fault.Refuse(fault.OverLimit, retry, "the account's rate and burst are used up")
}

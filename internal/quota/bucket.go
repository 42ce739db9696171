// Package quota limits the operations of a client account across all instances.
// One instance, the quota owner, holds the account's Bucket. Every other
// instance holds an Allocation of operations that the owner granted for a short
// time. The package handles accounts that far exceed their rate, demand that is
// uneven between instances, and instances that are cut off from the quota
// owner. It does no I/O.
package quota

import (
	"math"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// initialShare is the fraction of the burst in a new owner's bucket. The
	// previous owner may have granted the rest just before.
	initialShare = 0.1
	// initialOvershoot is the fraction of the overshoot of one window that a new
	// owner's bucket holds if that is more. The account may run it even if the
	// previous owner has granted everything just before.
	initialOvershoot = 0.25
	// minInitial is the minimum initial content of a bucket, in operations, so
	// that small accounts can start immediately.
	minInitial = 2
	// GrantLength is how long granted operations may be spent.
	GrantLength = 500 * time.Millisecond
)

// tokenBucket holds tokens that refill at a fixed rate.
type tokenBucket struct {
	level     float64
	updatedAt time.Time
}

// refill adds the tokens for the time since the last refill, up to limit.
func (b *tokenBucket) refill(now time.Time, rate, limit float64) {
	b.level = min(limit, b.level+now.Sub(b.updatedAt).Seconds()*rate)
	b.updatedAt = now
}

// Overshoot is what may run beyond an account's quota in one window: a fraction
// of the quota and a number of operations. The quota of a window is the rate times
// its length plus the burst.
type Overshoot struct {
	Fraction   float64
	Operations float64
	Window     time.Duration
}

// inWindow returns the operations beyond a quota that may run in one window.
func (o Overshoot) inWindow(q engine.Quota) float64 {
	return o.Fraction*(q.Rate*o.Window.Seconds()+q.Burst) + o.Operations
}

// grantedOvershoot is the fraction of the overshoot that a bucket grants. The
// rest covers grants that are still unspent when a window begins.
const grantedOvershoot = 0.4

// Bucket holds the tokens of one account at its quota owner.
type Bucket struct {
	overshoot Overshoot
	tokens    tokenBucket // updatedAt is zero until the first grant
	quota     engine.Quota
	plan      plan
	refusedAt time.Time // when a request was last granted nothing, zero before the first one
}

// NewBucket returns a bucket that has granted nothing yet.
func NewBucket(o Overshoot) *Bucket { return &Bucket{overshoot: o} }

// withOvershoot returns the quota including the granted overshoot.
// Overshoot.Fraction raises the rate and the burst, Overshoot.Operations raises
// the burst.
func (b *Bucket) withOvershoot(q engine.Quota) engine.Quota {
	factor := 1 + grantedOvershoot*b.overshoot.Fraction
	return engine.Quota{Rate: q.Rate * factor, Burst: q.Burst*factor + grantedOvershoot*b.overshoot.Operations}
}

// Grant takes up to the requested number of operations from the bucket, for the
// instance from. share is the fraction of the account's rate that this instance
// may grant. It is below one while cut-off instances may act as quota owner as
// well. If no operation is granted, retryIn is the time of a token that is kept
// for from, if it is within promiseHorizon. In a grant, retryIn is above zero if
// the account is short.
func (b *Bucket) Grant(
	now time.Time, q engine.Quota, from ident.Instance, requested ident.Tokens, share float64,
) (count ident.Tokens, retryIn time.Duration) {
	if q != b.quota {
		b.plan.discard()
		b.quota = q
	}
	initial := max(initialShare*q.Burst, initialOvershoot*b.overshoot.inWindow(q)) * share
	q = b.withOvershoot(q)
	q = engine.Quota{Rate: q.Rate * share, Burst: q.Burst * share}
	b.refill(now, q, initial)
	if requested == 0 {
		return 0, untilNextToken(b.tokens.level, q.Rate)
	}
	b.plan.expire(now)
	if b.tokens.level >= 1 && b.plan.redeem(now, from) {
		count = 1
		b.tokens.level--
	}
	more := min(requested-count, b.plan.unpromised(now, b.tokens.level, q.Rate))
	count += more
	b.tokens.level -= float64(more)
	if count == 0 {
		b.refusedAt = now
		return 0, b.plan.promise(now, from, b.tokens.level, q.Rate)
	}
	if b.isShort(now, q) {
		retryIn = max(minRetry, untilNextToken(b.tokens.level, q.Rate))
	}
	return count, retryIn
}

// isShort reports whether the account is short of operations.
func (b *Bucket) isShort(now time.Time, q engine.Quota) bool {
	return !b.refusedAt.IsZero() && now.Sub(b.refusedAt) < shortageTime || b.tokens.level < nearlyEmpty*q.Burst
}

// Refund puts back one operation that did not run.
func (b *Bucket) Refund() {
	if !b.tokens.updatedAt.IsZero() {
		b.tokens.level++ // the next refill limits it to the burst
	}
}

// refill adds the tokens since the last refill. A new bucket holds the initial
// ones, as far as the burst allows.
func (b *Bucket) refill(now time.Time, q engine.Quota, initial float64) {
	t := &b.tokens
	if t.updatedAt.IsZero() {
		*t = tokenBucket{level: min(q.Burst, max(initial, minInitial)), updatedAt: now}
	}
	t.refill(now, q.Rate, math.Max(q.Burst, 1))
}

// untilNextToken returns the time until the bucket holds one token. It is negative
// if it holds more, and a second if the bucket does not refill.
func untilNextToken(level, rate float64) time.Duration {
	if rate <= 0 {
		return time.Second
	}
	return time.Duration((1 - level) / rate * float64(time.Second))
}

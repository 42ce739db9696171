// Package quota decides how many operations of a client account may run, over
// all instances together. One instance keeps the account's Bucket; each has an
// Allocation of it with operations that the keeper granted for a short time. It
// does no I/O. It answers an account that sends many times its rate, demand
// that is uneven between instances, and instances that are cut off from the
// keeper.
package quota

import (
	"math"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// startShare is the part of the burst that a new keeper has. The one before
	// it may have granted the rest just now.
	startShare = 0.25
	// startLeast is what it has in any case, so that a small account can begin.
	startLeast = 2
	// GrantLength is how long granted operations may be spent.
	GrantLength = 500 * time.Millisecond
)

// balance is an account's token bucket.
type balance struct {
	level float64
	at    time.Time
}

// refill adds what the rate has brought since the last time, up to a top.
func (b *balance) refill(now time.Time, rate, top float64) {
	b.level = min(top, b.level+now.Sub(b.at).Seconds()*rate)
	b.at = now
}

// Overshoot is what may run beyond an account's quota in one window: a part of
// it, and a few operations.
type Overshoot struct {
	Fraction   float64
	Operations float64
}

// roomUsed is how much of the room a ledger grants. The rest covers grants that
// are still unspent when a window begins.
const roomUsed = 0.4

// Bucket holds the balance of one account, at the instance that keeps it.
type Bucket struct {
	room    Overshoot
	balance balance // its time is zero until the first grant
}

// NewBucket returns a ledger that has granted nothing yet.
func NewBucket(r Overshoot) *Bucket { return &Bucket{room: r} }

// widened returns the quota with the room that is used. The part goes to rate
// and burst alike, the operations to the burst.
func (l *Bucket) widened(q engine.Quota) engine.Quota {
	part := 1 + roomUsed*l.room.Fraction
	return engine.Quota{Rate: q.Rate * part, Burst: q.Burst*part + roomUsed*l.room.Operations}
}

// Grant takes up to wanted operations from the balance. Share is the
// part of the account's rate that this keeper may give; it is below one while
// other instances may have a keeper of their own. RetryIn says when an
// operation is there again, if none was granted.
func (l *Bucket) Grant(now time.Time, q engine.Quota, wanted ident.Tokens, share float64) (count ident.Tokens, retryIn time.Duration) {
	q = l.widened(q)
	l.refill(now, engine.Quota{Rate: q.Rate * share, Burst: q.Burst * share})
	count = min(wanted, ident.Tokens(math.Floor(l.balance.level)))
	if count > 0 {
		l.balance.level -= float64(count)
		return count, 0
	}
	return 0, untilOne(l.balance.level, q.Rate*share)
}

// Refund takes back one operation that did not run.
func (l *Bucket) Refund() {
	if !l.balance.at.IsZero() {
		l.balance.level++ // the next refill cuts it to the burst
	}
}

func (l *Bucket) refill(now time.Time, q engine.Quota) {
	b := &l.balance
	if b.at.IsZero() {
		*b = balance{level: max(startShare*q.Burst, min(q.Burst, startLeast)), at: now}
	}
	b.refill(now, q.Rate, math.Max(q.Burst, 1))
}

// untilOne is when a level reaches one operation.
func untilOne(level, rate float64) time.Duration {
	if rate <= 0 {
		return time.Second
	}
	return time.Duration((1 - level) / rate * float64(time.Second))
}

package quota

import (
	"math"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// askAhead is the demand that one question covers; it lies below
	// GrantLength, so that little of a grant goes unused.
	askAhead = 300 * time.Millisecond
	// askAgain is how long an answer is waited for before another question.
	askAgain = 100 * time.Millisecond
	// refundLength is how long an operation that did not run may be spent again.
	refundLength = 200 * time.Millisecond
	// denyMost bounds how long a refusal is repeated without asking.
	denyMost = 250 * time.Millisecond
	// demandTime is the time over which demand is averaged.
	demandTime = time.Second
	// aloneShare is the part of its even share that an instance spends while
	// it can't reach the keeper, which goes on granting to the others.
	aloneShare = 0.5
)

// Result is what a purse says to an operation.
type Result uint8

// The verdicts.
const (
	Spent Result = iota + 1
	// Wait means that the keeper's answer decides.
	Wait
	Denied
)

// Decision is the answer of Allocation.Spend. Request is how many operations to
// ask the keeper for, zero for none.
type Decision struct {
	Result  Result
	Request ident.Tokens
	RetryIn time.Duration
}

// Allocation holds what an instance may spend of one account. The zero value is
// ready.
type Allocation struct {
	count   ident.Tokens
	expires time.Time
	asked   time.Time // zero when no question is open
	denied  time.Time // refuse until
	demand  float64   // operations a second
	seen    time.Time // when demand was last counted
	alone   balance
}

// Spend takes one operation if there is one, and says what to ask for.
func (p *Allocation) Spend(now time.Time) Decision {
	p.countDemand(now)
	if now.After(p.expires) {
		p.count = 0
	}
	if p.count > 0 {
		p.count--
		return Decision{Result: Spent, Request: p.ask(now, p.count)}
	}
	if now.Before(p.denied) {
		return Decision{Result: Denied, RetryIn: p.denied.Sub(now)}
	}
	return Decision{Result: Wait, Request: p.ask(now, 0)}
}

// SpendFallback takes one operation from the instance's even share of the rate,
// for when the keeper does not answer.
func (p *Allocation) SpendFallback(now time.Time, q engine.Quota, instances int) Decision {
	rate := q.Rate * aloneShare / float64(max(1, instances))
	if p.alone.at.IsZero() {
		p.alone = balance{level: 1, at: now}
	}
	p.alone.refill(now, rate, math.Max(1, rate/2))
	if p.alone.level < 1 {
		return Decision{Result: Denied, RetryIn: untilOne(p.alone.level, rate)}
	}
	p.alone.level--
	return Decision{Result: Spent}
}

// Refund takes back one operation that did not run. It may be spent again for
// as long as the grants in hand, or for a moment if there are none.
func (p *Allocation) Refund(now time.Time) {
	if now.After(p.expires) {
		p.count = 0
		p.expires = now.Add(refundLength)
	}
	p.count++
}

// Receive takes a grant, or a refusal with a count of zero.
func (p *Allocation) Receive(now time.Time, count ident.Tokens, length, retryIn time.Duration) {
	asked := p.asked
	p.asked = time.Time{}
	if count == 0 {
		p.denied = now.Add(min(retryIn, denyMost))
		return
	}
	if asked.IsZero() {
		asked = now.Add(-askAgain) // the question was given up
	}
	if now.After(p.expires) {
		p.count = 0
	}
	p.count += count
	p.expires = asked.Add(length)
	p.denied = time.Time{}
}

// countDemand adds one operation to the mean demand.
func (p *Allocation) countDemand(now time.Time) {
	decay := math.Exp(-now.Sub(p.seen).Seconds() / demandTime.Seconds())
	p.demand = p.demand*decay + 1/demandTime.Seconds()
	p.seen = now
}

// ask returns how many operations to ask for when left are in hand.
func (p *Allocation) ask(now time.Time, left ident.Tokens) ident.Tokens {
	ahead := ident.Tokens(math.Ceil(p.demand * askAhead.Seconds()))
	open := !p.asked.IsZero() && now.Sub(p.asked) < askAgain
	if open || 2*left >= ahead && left > 0 || left > 0 && ahead <= 1 {
		return 0
	}
	p.asked = now
	return max(1, ahead-left)
}

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

// Verdict is what a purse says to an operation.
type Verdict uint8

// The verdicts.
const (
	Spent Verdict = iota + 1
	// Wait means that the keeper's answer decides.
	Wait
	Denied
)

// Decision is the answer of Purse.Spend. Ask is how many operations to ask the
// keeper for, zero for none.
type Decision struct {
	Verdict Verdict
	Ask     ident.Tokens
	RetryIn time.Duration
}

// pocket is what a purse has of one account.
type pocket struct {
	count   ident.Tokens
	expires time.Time
	asked   time.Time // zero when no question is open
	denied  time.Time // refuse until
	demand  float64   // operations a second
	seen    time.Time
	alone   balance
}

// Purse holds what an instance may spend.
type Purse struct{ pockets map[ident.Account]*pocket }

// NewPurse returns an empty purse.
func NewPurse() *Purse { return &Purse{pockets: make(map[ident.Account]*pocket)} }

// Spend takes one operation if there is one, and says what to ask for.
func (p *Purse) Spend(now time.Time, a ident.Account) Decision {
	k := p.pocket(now, a)
	k.countDemand(now)
	if now.After(k.expires) {
		k.count = 0
	}
	if k.count > 0 {
		k.count--
		return Decision{Verdict: Spent, Ask: k.ask(now, k.count)}
	}
	if now.Before(k.denied) {
		return Decision{Verdict: Denied, RetryIn: k.denied.Sub(now)}
	}
	return Decision{Verdict: Wait, Ask: k.ask(now, 0)}
}

// SpendAlone takes one operation from the instance's even share of the rate,
// for when the keeper does not answer.
func (p *Purse) SpendAlone(now time.Time, a ident.Account, q engine.Quota, instances int) Decision {
	k := p.pocket(now, a)
	rate := q.Rate * aloneShare / float64(max(1, instances))
	if k.alone.at.IsZero() {
		k.alone = balance{level: 1, at: now}
	}
	k.alone.level = min(math.Max(1, rate/2), k.alone.level+now.Sub(k.alone.at).Seconds()*rate)
	k.alone.at = now
	if k.alone.level < 1 {
		return Decision{Verdict: Denied, RetryIn: untilOne(k.alone.level, rate)}
	}
	k.alone.level--
	return Decision{Verdict: Spent}
}

// Refund takes back one operation that did not run. It may be spent again for
// as long as the grants in hand, or for a moment if there are none.
func (p *Purse) Refund(now time.Time, a ident.Account) {
	k := p.pocket(now, a)
	if now.After(k.expires) {
		k.count = 0
		k.expires = now.Add(refundLength)
	}
	k.count++
}

// Receive takes a grant, or a refusal with a count of zero. Asked is when the
// question was sent.
func (p *Purse) Receive(now time.Time, a ident.Account, count ident.Tokens, length, retryIn time.Duration) {
	k := p.pocket(now, a)
	asked := k.asked
	k.asked = time.Time{}
	if count == 0 {
		k.denied = now.Add(min(retryIn, denyMost))
		return
	}
	if asked.IsZero() {
		asked = now.Add(-askAgain) // the question was given up
	}
	if now.After(k.expires) {
		k.count = 0
	}
	k.count += count
	k.expires = asked.Add(length)
	k.denied = time.Time{}
}

func (p *Purse) pocket(now time.Time, a ident.Account) *pocket {
	k := p.pockets[a]
	if k == nil {
		k = &pocket{seen: now}
		p.pockets[a] = k
	}
	return k
}

// countDemand adds one operation to the mean demand.
func (k *pocket) countDemand(now time.Time) {
	decay := math.Exp(-now.Sub(k.seen).Seconds() / demandTime.Seconds())
	k.demand = k.demand*decay + 1/demandTime.Seconds()
	k.seen = now
}

// ask returns how many operations to ask for when left are in hand.
func (k *pocket) ask(now time.Time, left ident.Tokens) ident.Tokens {
	ahead := ident.Tokens(math.Ceil(k.demand * askAhead.Seconds()))
	open := !k.asked.IsZero() && now.Sub(k.asked) < askAgain
	if open || 2*left >= ahead && left > 0 || left > 0 && ahead <= 1 {
		return 0
	}
	k.asked = now
	return max(1, ahead-left)
}

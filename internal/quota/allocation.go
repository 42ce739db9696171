package quota

import (
	"math"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// requestPeriod is the period whose demand one request covers. It is shorter
	// than GrantLength, so that only a small part of a grant expires unused.
	requestPeriod = 300 * time.Millisecond
	// requestTimeout is how long a request may stay unanswered before the next
	// one is sent.
	requestTimeout = 100 * time.Millisecond
	// refundValidity is how long a refunded operation may be spent.
	refundValidity = 200 * time.Millisecond
	// demandWindow is the averaging window of the demand.
	demandWindow = time.Second
)

// Result is the result of an attempt to spend one operation.
type Result uint8

// The results.
const (
	Spent Result = iota + 1
	// Wait means that the operation has to wait for the quota owner's reply.
	Wait
	Denied
)

// Decision is returned by Allocation.Spend. Request is the number of operations
// to request from the quota owner, zero for none.
type Decision struct {
	Result  Result
	Request ident.Tokens
	RetryIn time.Duration
}

// Allocation holds the operations of one account that an instance may spend.
// The zero value is ready to use.
type Allocation struct {
	count     ident.Tokens
	expiresAt time.Time
	requests  []time.Time // when the open requests were sent
	// unrequested counts the operations that wait for the reply to the request
	// of another one.
	unrequested int
	shortage    shortage
	ahead       aheadLimit
	demand      float64   // operations per second
	countedAt   time.Time // when demand was last updated
	fallback    fallback
	answeredAt  time.Time // when the quota owner's latest reply arrived
}

// Spend takes one operation if one is available and returns how many to
// request.
func (a *Allocation) Spend(now time.Time) Decision {
	a.countDemand(now)
	if d, ok := a.take(now); ok {
		return d
	}
	if retryIn, denied := a.shortage.denyLocally(now); denied {
		return Decision{Result: Denied, RetryIn: retryIn}
	}
	open := a.requestOpen(now)
	switch {
	case a.shortage.isShort(now):
		return Decision{Result: Wait, Request: a.request(now, 1)}
	case open:
		a.unrequested++
		return Decision{Result: Wait}
	}
	a.unrequested = 0
	return Decision{Result: Wait, Request: a.request(now, max(1, a.expected()))}
}

// Resume is like Spend for an operation that has waited for a reply.
func (a *Allocation) Resume(now time.Time) Decision {
	if d, ok := a.take(now); ok {
		return d
	}
	if retryIn, ok := a.shortage.take(now); ok {
		return Decision{Result: Denied, RetryIn: retryIn}
	}
	short := a.shortage.isShort(now)
	switch {
	case short && a.unrequested > 0:
		a.unrequested--
		return Decision{Result: Wait, Request: a.request(now, 1)}
	case a.requestOpen(now):
		return Decision{Result: Wait}
	case short:
		return Decision{Result: Wait, Request: a.request(now, 1)}
	}
	return Decision{Result: Wait, Request: a.request(now, max(1, a.expected()))}
}

// take spends a granted operation. It returns false if none is left.
func (a *Allocation) take(now time.Time) (Decision, bool) {
	a.expire(now)
	if a.count == 0 {
		return Decision{}, false
	}
	a.count--
	if a.count == 0 {
		a.ahead.recordUsedUp()
	}
	return Decision{Result: Spent, Request: a.requestAhead(now, a.count)}, true
}

// expire drops the granted operations whose time is over.
func (a *Allocation) expire(now time.Time) {
	if a.count > 0 && now.After(a.expiresAt) {
		a.ahead.expire(a.count)
		a.count = 0
	}
}

// SpendFallback takes one operation from the instance's even share of the rate.
// It is used while the quota owner does not answer. If the account is short and
// a single reply is missing, nothing is taken, because the owner grants the whole
// rate.
func (a *Allocation) SpendFallback(now time.Time, q engine.Quota, instances int) Decision {
	short, reachable := a.shortage.isShort(now), now.Sub(a.answeredAt) < recentAnswer
	if short && reachable {
		return Decision{Result: Denied, RetryIn: a.fallback.retry(now, promiseHorizon)}
	}
	return a.fallback.spend(now, q, instances, reachable)
}

// Refund puts back one operation that did not run. It expires with the current
// grants, or after refundValidity if there are none.
func (a *Allocation) Refund(now time.Time) {
	if now.After(a.expiresAt) {
		a.count = 0
		a.expiresAt = now.Add(refundValidity)
	}
	a.count++
}

// Receive adds a grant. A count of zero is a denial. RetryIn is above zero in a
// grant if the account is short.
func (a *Allocation) Receive(now time.Time, count ident.Tokens, length, retryIn time.Duration) {
	requestedAt := now.Add(-requestTimeout) // if the request had timed out
	if a.requestOpen(now) {
		requestedAt, a.requests = a.requests[0], a.requests[1:]
	}
	a.answeredAt = now
	if count == 0 {
		a.shortage.deny(now, retryIn)
		return
	}
	if retryIn > 0 {
		a.shortage.note(now)
	}
	a.expire(now)
	a.ahead.receive(a.count, count)
	a.count += count
	a.expiresAt = requestedAt.Add(length)
}

// countDemand adds one operation to the average demand.
func (a *Allocation) countDemand(now time.Time) {
	decay := math.Exp(-now.Sub(a.countedAt).Seconds() / demandWindow.Seconds())
	a.demand = a.demand*decay + 1/demandWindow.Seconds()
	a.countedAt = now
}

// requestAhead returns how many operations to request in advance when left
// operations are available. It is none if the account is short or the next
// operation is not expected soon: granted operations that expire unused are lost
// to the account.
func (a *Allocation) requestAhead(now time.Time, left ident.Tokens) ident.Tokens {
	ahead := a.expected()
	if a.shortage.isShort(now) || a.requestOpen(now) || 2*left >= ahead || left > 0 && ahead <= 1 {
		return 0
	}
	return a.request(now, ahead-left)
}

// request records that operations are requested.
func (a *Allocation) request(now time.Time, count ident.Tokens) ident.Tokens {
	a.requests = append(a.requests, now)
	return count
}

// expected returns the number of operations expected in the period that a
// request covers, or less if some expired unused.
func (a *Allocation) expected() ident.Tokens {
	return a.ahead.apply(ident.Tokens(math.Round(a.demand * requestPeriod.Seconds())))
}

// requestOpen reports whether a request is unanswered. Requests that have timed
// out are dropped.
func (a *Allocation) requestOpen(now time.Time) bool {
	for len(a.requests) > 0 && now.Sub(a.requests[0]) >= requestTimeout {
		a.requests = a.requests[1:]
	}
	return len(a.requests) > 0
}

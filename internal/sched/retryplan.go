package sched

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/spread"
)

// minRetry is the minimum retry delay that a rejection reports.
const minRetry = 25 * time.Millisecond

// retry describes when a rejected call may be sent again.
type retry struct {
	// earliest is when a retry can succeed at the earliest, from now.
	earliest time.Duration
	// spacing is the time in which one more call can be served.
	spacing time.Duration
	timeout time.Duration // of the call
}

// retryPlan gives each rejected caller a time of its own, so that they don't all
// return at once. Times that have passed are free again.
type retryPlan struct {
	next     time.Time // the earliest time that no caller was given
	overflow int       // callers that found no time within the limit
}

// reserve returns the delay after which a rejected caller should retry. Callers
// for whom there is no time within the limit are spread over its second half.
// The limit is the call's timeout, or later if no retry can succeed by then.
func (p *retryPlan) reserve(now time.Time, r retry) time.Duration {
	limit := max(r.timeout, r.earliest+r.timeout/2)
	at := now.Add(r.earliest)
	if p.next.Before(now.Add(minRetry)) {
		p.overflow = 0
	}
	if p.next.After(at) {
		at = p.next
	}
	if delay := at.Sub(now); delay <= limit {
		p.next = at.Add(max(r.spacing, time.Microsecond))
		return delay
	}
	p.overflow++
	from := max(r.earliest, limit/2)
	return from + time.Duration(spread.Fraction(float64(p.overflow))*float64(limit-from))
}

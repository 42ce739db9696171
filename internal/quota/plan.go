package quota

import (
	"math"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/spread"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// promiseHorizon bounds how far ahead tokens are promised. Callers retry
	// within 600 to 1,500 ms or not at all.
	promiseHorizon = time.Second
	// promiseGrace is how long a token is kept after the promised time: several
	// round trips between data centres.
	promiseGrace = 60 * time.Millisecond
	// retrySpread is the period after the horizon over which callers without a
	// promise are spread.
	retrySpread = time.Second
)

// promise is a token that is kept for one instance from a time on.
type promise struct {
	to ident.Instance
	at time.Time
}

// plan holds the tokens that a bucket promised to refused callers, in the order
// of their times.
type plan struct {
	promises []promise
	retries  retryTimes
}

// expire drops the promises that were not used in time. Their tokens go to the
// next callers.
func (p *plan) expire(now time.Time) {
	n := 0
	for n < len(p.promises) && now.Sub(p.promises[n].at) > promiseGrace {
		n++
	}
	p.promises = p.promises[n:]
}

// redeem removes a promise to an instance whose time has come. It returns false
// if there is none.
func (p *plan) redeem(now time.Time, to ident.Instance) bool {
	for i, promised := range p.promises {
		if promised.at.After(now) {
			return false
		}
		if promised.to == to {
			p.promises = slices.Delete(p.promises, i, i+1)
			return true
		}
	}
	return false
}

// unpromised returns how many of the tokens in a bucket can be taken without
// delaying a promise.
func (p *plan) unpromised(now time.Time, level, rate float64) ident.Tokens {
	// Tokens are fractions in floating point. Without the tolerance, a promise
	// that the plan just fits would seem to be late.
	const tolerance = 1e-6
	free := level
	for i, promised := range p.promises {
		refilled := max(0, promised.at.Sub(now).Seconds()) * rate
		free = min(free, level+refilled-float64(i+1))
	}
	return ident.Tokens(max(0, math.Floor(free+tolerance)))
}

// promise promises the next token that nobody was promised, and returns the time
// until then. Beyond the horizon it promises nothing and spreads the callers.
func (p *plan) promise(now time.Time, to ident.Instance, level, rate float64) time.Duration {
	in := untilNextToken(level-float64(len(p.promises)), rate)
	if n := len(p.promises); n > 0 {
		in = max(in, p.promises[n-1].at.Sub(now))
	}
	// Callers are told the time in milliseconds. One that came back earlier would
	// not find its token.
	in = max(time.Millisecond, (in + time.Millisecond - 1).Truncate(time.Millisecond))
	if rate <= 0 || in > promiseHorizon {
		return promiseHorizon + p.retries.next(now)
	}
	p.promises = append(p.promises, promise{to: to, at: now.Add(in)})
	return in
}

// discard drops all promises.
func (p *plan) discard() { p.promises = nil }

// retryTimes is a sequence of retry times that fills retrySpread evenly. It starts at a
// position that differs between instances, whose callers would otherwise all
// retry at the same time after a restart.
type retryTimes struct {
	position float64 // the latest time as a fraction of retrySpread, zero at first
}

// next returns the next time, at least a millisecond.
func (r *retryTimes) next(now time.Time) time.Duration {
	if r.position == 0 {
		r.position = instanceFraction(now)
	}
	r.position = spread.Next(r.position)
	return max(time.Millisecond, time.Duration(r.position*float64(retrySpread)))
}

// instanceFraction returns a number from zero to below one. It is derived from the
// nanoseconds of the clock, so it differs between instances.
func instanceFraction(now time.Time) float64 {
	return spread.Fraction(float64(now.Nanosecond()))
}

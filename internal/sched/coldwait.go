package sched

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
)

// tokenSupply is the number of tokens for calls to cold endpoints that are left,
// and how many are added each second. The number is negative if tokens were taken
// in advance. A rate of zero means that tokens do not limit the calls.
type tokenSupply struct{ left, rate float64 }

// timeUntil returns the time until the given number of calls have a token.
func (t tokenSupply) timeUntil(calls float64) time.Duration {
	if t.rate == 0 {
		return 0
	}
	return max(0, time.Duration((calls-t.left)/t.rate*float64(time.Second)))
}

// spacing returns the time between two tokens.
func (t tokenSupply) spacing() time.Duration {
	if t.rate == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / t.rate)
}

// tokensAt returns the tokens of one endpoint, none if it is not cold or gets no
// calls from this instance.
func (s *Scheduler) tokensAt(now time.Time, e *endpoint) tokenSupply {
	rate := s.coldRate(e)
	if s.coldAllows(now, e); !e.cold.limiting || rate == 0 {
		return tokenSupply{}
	}
	return tokenSupply{left: e.cold.tokens, rate: rate}
}

// primaryTokens returns the tokens for calls that only the primary may run.
func (s *Scheduler) primaryTokens(now time.Time) tokenSupply {
	if e := s.endpoints[s.primary.Endpoint]; e != nil {
		return s.tokensAt(now, e)
	}
	return tokenSupply{}
}

// readTokens returns the tokens for calls that any endpoint may run. They are
// limited only if all endpoints are cold.
func (s *Scheduler) readTokens(now time.Time) tokenSupply {
	var sum tokenSupply
	for _, e := range s.sorted {
		if e.leaving() || e.ID == s.primary.Endpoint && !s.primary.Usable {
			continue
		}
		if !s.isCold(now, e) {
			return tokenSupply{}
		}
		t := s.tokensAt(now, e)
		sum.left += t.left
		sum.rate += t.rate
	}
	return sum
}

// tokensFor returns the tokens that a call has to wait for.
func (s *Scheduler) tokensFor(now time.Time, c *engine.Call) tokenSupply {
	if s.limits.ColdRate <= 0 {
		return tokenSupply{}
	}
	if s.requirements(now, c).verifyPrimary {
		return s.primaryTokens(now)
	}
	return s.readTokens(now)
}

// tokenWait estimates how long a new call would wait for a token, after the calls
// that run before it. These are counted as in waitInOrder. Calls that run anywhere
// take the tokens of a cold primary in proportion to its rate if all endpoints are
// cold, and none otherwise.
func (s *Scheduler) tokenWait(now time.Time, w *waiter) time.Duration {
	supply := s.tokensFor(now, w.call)
	if supply.rate == 0 {
		return 0
	}
	share := 1.0
	if s.requirements(now, w.call).verifyPrimary {
		share = 0
		if reads := s.readTokens(now); reads.rate > 0 {
			share = min(1, supply.rate/reads.rate)
		}
	}
	var tokens [places]float64
	for _, other := range s.waiting {
		calls := share
		if s.requirements(now, other.call).verifyPrimary {
			calls = 1
		}
		tokens[w.placeOf(other)] += calls
	}
	calls := tokens[before] + tokens[beforeLate]/s.lateShare.value()
	return supply.timeUntil(calls + min(calls/(oldestGrantInterval-1), tokens[behind]) + 1)
}

package quota

import (
	"math"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
)

const (
	// fallbackShare is the fraction of its even share that an instance spends
	// while it can't reach the quota owner. The owner continues to grant to the
	// other instances. With 0.45, an account exceeded its limit in a
	// simulation in which half of the instances were cut off.
	fallbackShare = 0.4
	// fallbackMemory is how long an instance remembers what it has spent of its
	// share.
	fallbackMemory = time.Second
	// fallbackRetry is the shortest retry time of an operation that is refused while
	// the quota owner does not answer, unless the next token is due earlier. A lost
	// packet is sent again after 200 ms.
	fallbackRetry = 250 * time.Millisecond
	// recentAnswer is how long the quota owner counts as reachable after its
	// latest reply. One reply that is missing is then a lost message.
	recentAnswer = time.Second
	// wholeStartShare is the fraction of the burst that all instances together may
	// start with if each of them starts with a whole operation.
	wholeStartShare = 0.25
)

// fallback spends an instance's even share of the rate while the quota owner
// does not answer. The zero value is ready to use.
type fallback struct {
	tokens  tokenBucket
	retries retryTimes
}

// spend takes one operation. It starts with a whole one if whole is set, and
// otherwise with a fraction. If each of hundreds of instances started with a
// whole operation, an account with a low rate would exceed its limit: at 5
// operations a second over 195 instances, it got 2.3 times the limit while its
// quota owner was frozen.
func (f *fallback) spend(now time.Time, q engine.Quota, instances int, whole bool) Decision {
	rate := q.Rate * fallbackShare / float64(max(1, instances))
	if now.Sub(f.tokens.updatedAt) > fallbackMemory {
		f.tokens = tokenBucket{level: instanceFraction(now), updatedAt: now.Add(-fallbackMemory)}
		if whole || float64(instances) <= wholeStartShare*q.Burst {
			f.tokens = tokenBucket{level: 1, updatedAt: now}
		}
	}
	f.tokens.refill(now, rate, math.Max(1, rate/2))
	if f.tokens.level < 1 {
		return Decision{Result: Denied, RetryIn: f.retry(now, untilNextToken(f.tokens.level, rate))}
	}
	f.tokens.level--
	return Decision{Result: Spent}
}

// retry returns the retry time. The quota owner is usually reached before the
// small share of this instance has refilled, so callers are spread over a short
// time in place of waiting for it.
func (f *fallback) retry(now time.Time, next time.Duration) time.Duration {
	if next <= fallbackRetry {
		return next
	}
	return fallbackRetry + f.retries.next(now)/2
}

package acct

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// closed is the emptyAt of a bucket from which nothing may be spent.
const closed = math.MaxInt64 / 2

// refundWindow is how long after its admission a request's token may be
// refunded.
const refundWindow = 10 * time.Second

// bucket holds the tokens of one part. It implements the generic cell rate
// algorithm (ITU-T I.371) as a token bucket: emptyAt is the moment at which the
// bucket was empty, so the level is the time since then divided by the
// interval. Spending is one compare-and-swap. Only spend, refund and the
// read-only methods may be called concurrently; all others are called by Quota
// alone. Times are nanoseconds since the limiter's base.
type bucket struct {
	interval int64 // time to gain one token
	burst    int64 // capacity of the part

	emptyAt     atomic.Int64
	limit       atomic.Int64 // burst less the tokens lent to other instances
	end         atomic.Int64 // end of the lease
	aboveHalfAt atomic.Int64 // last time at which the bucket was seen more than half full

	mu           sync.Mutex // guards the refunds
	refundPeriod int64
	refunds      [2]int64 // in the current and the previous refund period
}

// newBucket returns a closed, empty bucket.
func newBucket(interval time.Duration, burst ident.Tokens) *bucket {
	b := &bucket{interval: int64(interval), burst: int64(burst)}
	b.limit.Store(int64(burst))
	b.emptyAt.Store(closed)
	b.aboveHalfAt.Store(math.MinInt64 / 2)
	return b
}

// open allows spending, starting with level tokens.
func (b *bucket) open(level, now int64) {
	level = max(0, min(level, b.limit.Load()))
	b.aboveHalfAt.Store(now) // earlier spending is not known here
	b.emptyAt.Store(now - level*b.interval)
}

// close stops all spending and returns the remaining level. No spend succeeds
// once it has returned.
func (b *bucket) close(now int64) int64 {
	emptyAt := b.emptyAt.Swap(closed)
	if emptyAt == closed {
		return 0
	}
	return max(0, now-b.clampToLimit(emptyAt, now)) / b.interval
}

func (b *bucket) isOpen() bool { return b.emptyAt.Load() != closed }

// clampToLimit returns emptyAt raised so that the level is at most the limit.
// The caller must have loaded emptyAt before the call.
func (b *bucket) clampToLimit(emptyAt, now int64) int64 {
	return max(emptyAt, now-max(0, b.limit.Load())*b.interval)
}

// spend takes one token. It compares the end of the lease with now each time,
// so a holder that was paused spends nothing from a lease that has lapsed.
func (b *bucket) spend(now int64) bool {
	for {
		emptyAt := b.emptyAt.Load()
		if now >= b.end.Load() {
			return false
		}
		from := b.clampToLimit(emptyAt, now)
		to := from + b.interval
		if to > now {
			return false
		}
		if b.emptyAt.CompareAndSwap(emptyAt, to) {
			b.recordFill(now-from, now)
			return true
		}
	}
}

// recordFill records the time if the bucket is more than half full. filled is
// the time in which it gained its level.
func (b *bucket) recordFill(filled, now int64) {
	if 2*filled > b.burst*b.interval {
		b.aboveHalfAt.Store(now)
	}
}

// level returns the number of whole tokens that can be spent.
func (b *bucket) level(now int64) int64 {
	emptyAt := b.emptyAt.Load()
	if emptyAt == closed || now >= b.end.Load() {
		return 0
	}
	return max(0, now-b.clampToLimit(emptyAt, now)) / b.interval
}

// wait returns the time until a token is available, in nanoseconds; MaxInt64 if
// none will be.
func (b *bucket) wait(now int64) int64 {
	emptyAt := b.emptyAt.Load()
	if emptyAt == closed || now >= b.end.Load() || b.limit.Load() < 1 {
		return math.MaxInt64
	}
	return max(0, b.clampToLimit(emptyAt, now)+b.interval-now)
}

// lend takes n tokens for another instance and lowers the limit by n until
// settleLoan. The limit is lowered first, so that a concurrent spend that sees
// the tokens gone also sees the lower limit.
func (b *bucket) lend(n, now int64) bool {
	before := b.limit.Load()
	for {
		emptyAt := b.emptyAt.Load()
		from := max(emptyAt, now-max(0, before)*b.interval)
		to := from + n*b.interval
		if emptyAt == closed || to > now || now >= b.end.Load() {
			b.raiseLimit(before, now)
			return false
		}
		b.limit.Store(before - n)
		if b.emptyAt.CompareAndSwap(emptyAt, to) {
			b.recordFill(now-from, now)
			assert.That(b.level(now) <= max(0, before-n), "PartAboveCap", "level %d after lending %d of limit %d", b.level(now), n, before)
			return true
		}
	}
}

// settleLoan ends a loan of n tokens, of which unspent were not used.
func (b *bucket) settleLoan(n, unspent, now int64) {
	limit := b.limit.Load() + n
	assert.That(limit <= b.burst || b.burst < n, "PartAboveCap", "limit %d of a part of %d", limit, b.burst)
	b.raiseLimit(limit, now)
	b.add(unspent, now)
}

// raiseLimit sets the limit without raising the level: the time that the bucket
// spent full at the lower limit does not count.
func (b *bucket) raiseLimit(limit, now int64) {
	for {
		emptyAt := b.emptyAt.Load()
		if emptyAt == closed || b.emptyAt.CompareAndSwap(emptyAt, b.clampToLimit(emptyAt, now)) {
			break
		}
	}
	b.limit.Store(limit)
}

// add adds n tokens, up to the limit.
func (b *bucket) add(n, now int64) {
	for {
		emptyAt := b.emptyAt.Load()
		if emptyAt == closed {
			return
		}
		to := b.clampToLimit(b.clampToLimit(emptyAt, now)-n*b.interval, now)
		if b.emptyAt.CompareAndSwap(emptyAt, to) {
			return
		}
	}
}

// refund gives back the token of a request that did not run. A token that was
// out while the bucket filled up would add to the burst. The bucket therefore
// accepts refunds only if it was at most half full for the whole window in
// which the request may have been admitted, and at most half the burst within
// that window.
func (b *bucket) refund(now int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	emptyAt := b.emptyAt.Load()
	if emptyAt == closed || now >= b.end.Load() {
		return false
	}
	b.recordFill(now-b.clampToLimit(emptyAt, now), now)
	if now-b.aboveHalfAt.Load() < int64(refundWindow) {
		return false
	}
	b.advanceRefundPeriod(now / int64(refundWindow))
	if b.refunds[0]+b.refunds[1] >= b.burst/2 {
		return false
	}
	b.refunds[0]++
	b.add(1, now)
	return true
}

func (b *bucket) advanceRefundPeriod(period int64) {
	switch period - b.refundPeriod {
	case 0:
		return
	case 1:
		b.refunds[1] = b.refunds[0]
	default:
		b.refunds[1] = 0
	}
	b.refunds[0] = 0
	b.refundPeriod = period
}

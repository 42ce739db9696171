package acct

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// closed stands in a bucket's zero while nothing may be spent from it.
const closed = math.MaxInt64 / 2

// returnWindow is how long after its admission a request may give its token
// back.
const returnWindow = 10 * time.Second

// bucket holds the tokens of one part. It is the generic cell rate algorithm
// (ITU-T I.371) as a token bucket: zero is the moment at which the bucket was
// empty, so the level is the time since then over the interval. Spending is
// one compare-and-swap. All but spend, giveBack and the readers are called by
// the decider alone. Times are nanoseconds since the limiter's base.
type bucket struct {
	interval int64 // one token's time
	full     int64 // burst of the part

	zero  atomic.Int64
	limit atomic.Int64 // full less the tokens lent to other instances
	end   atomic.Int64 // end of the lease
	high  atomic.Int64 // last time that the bucket was seen above half

	mu      sync.Mutex // guards the returns
	epoch   int64
	returns [2]int64 // in the present and the previous epoch
}

// newBucket returns a closed, empty bucket.
func newBucket(interval time.Duration, full ident.Tokens) *bucket {
	b := &bucket{interval: int64(interval), full: int64(full)}
	b.limit.Store(int64(full))
	b.zero.Store(closed)
	b.high.Store(math.MinInt64 / 2)
	return b
}

// open lets the bucket be spent from, with level tokens.
func (b *bucket) open(level, now int64) {
	level = max(0, min(level, b.limit.Load()))
	b.high.Store(now) // what was spent before is not known here
	b.zero.Store(now - level*b.interval)
}

// close stops all spending. No spend succeeds once it has returned. It returns
// the level left.
func (b *bucket) close(now int64) int64 {
	z := b.zero.Swap(closed)
	if z == closed {
		return 0
	}
	return max(0, now-b.clip(z, now)) / b.interval
}

func (b *bucket) isOpen() bool { return b.zero.Load() != closed }

// clip returns zero such that the level is at most the limit. It must be
// called with a zero that was loaded before.
func (b *bucket) clip(zero, now int64) int64 {
	return max(zero, now-max(0, b.limit.Load())*b.interval)
}

// spend takes one token. The lease's end is checked against now each time, so
// a holder that was paused spends nothing on a lease that has lapsed.
func (b *bucket) spend(now int64) bool {
	for {
		z := b.zero.Load()
		if now >= b.end.Load() {
			return false
		}
		from := b.clip(z, now)
		to := from + b.interval
		if to > now {
			return false
		}
		if b.zero.CompareAndSwap(z, to) {
			b.mark(now-from, now)
			return true
		}
	}
}

// mark notes that the bucket was more than half full.
func (b *bucket) mark(time, now int64) {
	if 2*time > b.full*b.interval {
		b.high.Store(now)
	}
}

// level returns the whole tokens that can be spent.
func (b *bucket) level(now int64) int64 {
	z := b.zero.Load()
	if z == closed || now >= b.end.Load() {
		return 0
	}
	return max(0, now-b.clip(z, now)) / b.interval
}

// wait returns how long it takes until a token is there.
func (b *bucket) wait(now int64) int64 {
	z := b.zero.Load()
	if z == closed || now >= b.end.Load() || b.limit.Load() < 1 {
		return math.MaxInt64
	}
	return max(0, b.clip(z, now)+b.interval-now)
}

// lend takes n tokens for another instance and lowers the limit by as many
// until settle. The limit falls first: a spender that sees the tokens gone
// also sees the lower limit.
func (b *bucket) lend(n, now int64) bool {
	before := b.limit.Load()
	for {
		z := b.zero.Load()
		from := max(z, now-max(0, before)*b.interval)
		to := from + n*b.interval
		if z == closed || to > now || now >= b.end.Load() {
			b.restore(before, now)
			return false
		}
		b.limit.Store(before - n)
		if b.zero.CompareAndSwap(z, to) {
			b.mark(now-from, now)
			assert.That(b.level(now) <= max(0, before-n), "PartAboveCap", "level %d after lending %d of limit %d", b.level(now), n, before)
			return true
		}
	}
}

// settle ends a loan of n tokens of which back came home unspent.
func (b *bucket) settle(n, back, now int64) {
	limit := b.limit.Load() + n
	assert.That(limit <= b.full || b.full < n, "PartAboveCap", "limit %d of a part of %d", limit, b.full)
	b.restore(limit, now)
	b.add(back, now)
}

// restore raises the limit without letting the level jump: time in which the
// bucket stood at the lower limit gained nothing.
func (b *bucket) restore(limit, now int64) {
	for {
		z := b.zero.Load()
		if z == closed || b.zero.CompareAndSwap(z, b.clip(z, now)) {
			break
		}
	}
	b.limit.Store(limit)
}

// add puts n tokens in, never above the limit.
func (b *bucket) add(n, now int64) {
	for {
		z := b.zero.Load()
		if z == closed {
			return
		}
		to := b.clip(b.clip(z, now)-n*b.interval, now)
		if b.zero.CompareAndSwap(z, to) {
			return
		}
	}
}

// giveBack returns the token of a request that ended not run. A token that
// was away while the bucket filled up would add to the burst, so tokens are
// taken back only by a bucket that has been at most half full for the whole
// window in which its request may have been admitted, and at most the other
// half of them.
func (b *bucket) giveBack(now int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	z := b.zero.Load()
	if z == closed || now >= b.end.Load() {
		return false
	}
	b.mark(now-b.clip(z, now), now)
	if now-b.high.Load() < int64(returnWindow) {
		return false
	}
	b.roll(now / int64(returnWindow))
	if b.returns[0]+b.returns[1] >= b.full/2 {
		return false
	}
	b.returns[0]++
	b.add(1, now)
	return true
}

func (b *bucket) roll(epoch int64) {
	switch epoch - b.epoch {
	case 0:
		return
	case 1:
		b.returns[1] = b.returns[0]
	default:
		b.returns[1] = 0
	}
	b.returns[0] = 0
	b.epoch = epoch
}

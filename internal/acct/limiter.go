package acct

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Limiter is the part of the quota that the request path touches: for each
// account the tokens that this instance may spend, behind immutable
// snapshots. It is written by Quota alone.
type Limiter struct {
	base   time.Time
	limits atomic.Pointer[map[ident.Account]*limit]
}

func newLimiter(base time.Time) *Limiter {
	l := &Limiter{base: base}
	l.limits.Store(&map[ident.Account]*limit{})
	return l
}

// at returns now as nanoseconds since the base; by the monotonic clock, when
// now carries it.
func (l *Limiter) at(now time.Time) int64 { return int64(now.Sub(l.base)) }

func (l *Limiter) of(account ident.Account) *limit { return (*l.limits.Load())[account] }

// limit is what one account may spend here, and what it tried.
type limit struct {
	supply  atomic.Pointer[supply]
	tried   atomic.Uint64
	refused atomic.Uint64
	missed  atomic.Uint64 // refused without waiting since Quota looked
	waiting atomic.Int64
	short   atomic.Bool  // a request found no token since Quota looked
	spread  atomic.Int64 // over how long those refused should come back

	refusals *metrics.Counter
}

func newLimit(account ident.Account) *limit {
	l := &limit{refusals: refusals(account)}
	l.supply.Store(newSupply(nil, nil))
	return l
}

// replace puts a new supply in force and wakes those who wait for one.
func (l *limit) replace(s *supply) { close(l.supply.Swap(s).replaced) }

// supply is an immutable list of places with tokens of one account.
type supply struct {
	grants   []*grant
	buckets  []*bucket
	replaced chan struct{} // closed once a newer supply is in force
}

func newSupply(grants []*grant, buckets []*bucket) *supply {
	return &supply{grants: grants, buckets: buckets, replaced: make(chan struct{})}
}

// spend takes one token: from grants first, because they end sooner. Drained
// tells that it was the last one of a grant, which its donor should know.
func (s *supply) spend(now int64) (ok, drained bool) {
	for _, g := range s.grants {
		if g.spend(now) {
			return true, g.left.Load() == 0
		}
	}
	for _, b := range s.buckets {
		if b.spend(now) {
			return true, false
		}
	}
	return false, false
}

// level returns how many tokens can be spent now.
func (s *supply) level(now int64) int64 {
	n := int64(0)
	for _, g := range s.grants {
		n += g.level(now)
	}
	for _, b := range s.buckets {
		n += b.level(now)
	}
	return n
}

// wait returns how long until a bucket here gains a token; MaxInt64 when no
// part is held.
func (s *supply) wait(now int64) int64 {
	w := int64(math.MaxInt64)
	for _, b := range s.buckets {
		w = min(w, b.wait(now))
	}
	return w
}

func (s *supply) giveBack(now int64) bool {
	for _, b := range s.buckets {
		if b.giveBack(now) {
			return true
		}
	}
	return false
}

// grant is a number of tokens that another instance gave, to be spent before
// end.
type grant struct {
	donor ident.Instance
	part  ident.Part
	nonce uint64
	end   int64
	left  atomic.Int64
}

func newGrant(donor ident.Instance, part ident.Part, nonce uint64, count ident.Tokens, end int64) *grant {
	g := &grant{donor: donor, part: part, nonce: nonce, end: end}
	g.left.Store(int64(count))
	return g
}

func (g *grant) spend(now int64) bool {
	for now < g.end {
		n := g.left.Load()
		if n <= 0 {
			return false
		}
		if g.left.CompareAndSwap(n, n-1) {
			return true
		}
	}
	return false
}

func (g *grant) level(now int64) int64 {
	if now >= g.end {
		return 0
	}
	return g.left.Load()
}

// close ends the grant and returns the tokens that were not spent. No spend
// succeeds once it has returned.
func (g *grant) close() int64 { return g.left.Swap(0) }

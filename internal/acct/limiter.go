package acct

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Limiter is the part of the quota that requests use: for each account the
// tokens that this instance may spend, behind immutable snapshots. Only Quota
// writes it.
type Limiter struct {
	base   time.Time
	limits atomic.Pointer[map[ident.Account]*accountLimit]
}

func newLimiter(base time.Time) *Limiter {
	l := &Limiter{base: base}
	l.limits.Store(&map[ident.Account]*accountLimit{})
	return l
}

// nanos returns now as nanoseconds since the base, by the monotonic clock if
// now has a monotonic reading.
func (l *Limiter) nanos(now time.Time) int64 { return int64(now.Sub(l.base)) }

func (l *Limiter) limitOf(account ident.Account) *accountLimit { return (*l.limits.Load())[account] }

// accountLimit holds what one account may spend on this instance, and counts
// its requests.
type accountLimit struct {
	sources     atomic.Pointer[tokenSources]
	attempts    atomic.Uint64
	refused     atomic.Uint64
	missed      atomic.Uint64 // refused without waiting since Quota last read it
	waiting     atomic.Int64
	shortage    atomic.Bool  // a request found no token since Quota last read it
	retrySpread atomic.Int64 // nanoseconds over which retries are spread

	refusals *metrics.Counter
}

func newAccountLimit(account ident.Account) *accountLimit {
	l := &accountLimit{refusals: refusalCounter(account)}
	l.sources.Store(newTokenSources(nil, nil))
	return l
}

// replaceSources replaces the token sources and wakes the requests that wait
// for new ones.
func (l *accountLimit) replaceSources(s *tokenSources) { close(l.sources.Swap(s).replaced) }

// tokenSources is an immutable list of the loans and buckets from which an
// account may spend.
type tokenSources struct {
	borrowed []*borrowedTokens
	buckets  []*bucket
	replaced chan struct{} // closed once newer sources are in place
}

func newTokenSources(borrowed []*borrowedTokens, buckets []*bucket) *tokenSources {
	return &tokenSources{borrowed: borrowed, buckets: buckets, replaced: make(chan struct{})}
}

// spend takes one token, from borrowed ones first because they expire sooner.
// drained reports that it was the last token of a loan, which can now be
// settled with the lender.
func (s *tokenSources) spend(now int64) (ok, drained bool) {
	for _, b := range s.borrowed {
		if b.spend(now) {
			return true, b.left.Load() == 0
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
func (s *tokenSources) level(now int64) int64 {
	n := int64(0)
	for _, b := range s.borrowed {
		n += b.level(now)
	}
	for _, b := range s.buckets {
		n += b.level(now)
	}
	return n
}

// wait returns the time until a bucket held here gains a token, in nanoseconds;
// MaxInt64 if none will.
func (s *tokenSources) wait(now int64) int64 {
	w := int64(math.MaxInt64)
	for _, b := range s.buckets {
		w = min(w, b.wait(now))
	}
	return w
}

func (s *tokenSources) refund(now int64) bool {
	for _, b := range s.buckets {
		if b.refund(now) {
			return true
		}
	}
	return false
}

// borrowedTokens are the tokens of a loan from another instance, to be spent
// before end.
type borrowedTokens struct {
	lender ident.Instance
	part   ident.Part
	nonce  uint64
	end    int64
	left   atomic.Int64
}

func newBorrowedTokens(lender ident.Instance, part ident.Part, nonce uint64, count ident.Tokens, end int64) *borrowedTokens {
	b := &borrowedTokens{lender: lender, part: part, nonce: nonce, end: end}
	b.left.Store(int64(count))
	return b
}

func (b *borrowedTokens) spend(now int64) bool {
	for now < b.end {
		n := b.left.Load()
		if n <= 0 {
			return false
		}
		if b.left.CompareAndSwap(n, n-1) {
			return true
		}
	}
	return false
}

func (b *borrowedTokens) level(now int64) int64 {
	if now >= b.end {
		return 0
	}
	return b.left.Load()
}

// close ends the loan and returns the number of unspent tokens. No spend
// succeeds once it has returned.
func (b *borrowedTokens) close() int64 { return b.left.Swap(0) }

package acct

import (
	"math"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// firstDry and longestDry bound how long a peer that had no tokens is not
	// asked again.
	firstDry   = 5 * time.Millisecond
	longestDry = 500 * time.Millisecond
	// lateMemory is how long the answer to an ask that timed out is settled
	// at its sender.
	lateMemory = 5 * time.Second
	// missMemory is how long tokens are kept for those refused to come back.
	missMemory = 200 * time.Millisecond
	// leastStock is the demand in the stock time, in tokens, below which no
	// tokens are borrowed ahead of need.
	leastStock = 2
)

// ask is a request for tokens that was sent.
type ask struct {
	to    ident.Instance
	nonce uint64
	count int64
	sent  time.Time
}

// donor is what is known about a peer that holds a part.
type donor struct {
	until time.Time // not asked before
	dry   time.Duration
}

// stock returns how many tokens the account's demand should find here: those
// of the stock time and twice the standard deviation of as many Poisson
// arrivals, and at most half the burst in proportion to this instance's share
// of the rate. An account with little demand here keeps none, so that its few
// tokens stay where they can be asked for.
func (q *Quota) stock(l *ledger) int64 {
	mean := l.demand * q.timing.Stock.Seconds()
	share := min(1, l.demand/float64(max(1, l.cut.rate)))
	most := max(1, share*float64(l.cut.burst)/2)
	if mean < leastStock {
		return int64(min(float64(l.missed), most))
	}
	return int64(max(1, math.Round(min(mean+2*math.Sqrt(mean), most))))
}

// miss notes the requests that were refused without waiting. Their callers
// come back soon, and should find a token then.
func (l *ledger) miss(now time.Time) {
	if n := l.limit.missed.Swap(0); n > 0 {
		l.missed = n
		l.missedUntil = now.Add(missMemory)
	}
	if !now.Before(l.missedUntil) {
		l.missed = 0
	}
}

// borrow asks peers for what is missing, ahead of need. For those who wait it
// asks one peer more than needed, as that peer may have no token.
func (q *Quota) borrow(l *ledger, now time.Time) {
	l.miss(now)
	waiting := l.limit.waiting.Load()
	want := min(q.stock(l)+waiting, int64(l.cut.burst))
	if want == 0 || q.stopping {
		return
	}
	missing := want - l.limit.supply.Load().level(q.limiter.at(now))
	for _, a := range l.asks {
		missing -= a.count
	}
	if missing <= 0 {
		return
	}
	peers := int(missing)
	if waiting > 0 {
		peers++
	}
	donors := q.donors(l, now)
	n := min(len(donors), peers)
	if n == 0 {
		return
	}
	each := (missing + int64(n) - 1) / int64(n)
	for _, d := range donors[:n] {
		q.ask(l, d, each, now)
	}
}

// donors returns the live holders of the account's parts that may be asked,
// in random order.
func (q *Quota) donors(l *ledger, now time.Time) []ident.Instance {
	var donors []ident.Instance
	for _, s := range l.shares {
		h := s.row.Holder
		if !l.current(s) || h == q.self || !s.heldElsewhere(now) || !slices.Contains(q.live, h) {
			continue
		}
		if slices.Contains(donors, h) || l.asking(h) || now.Before(l.donor(h).until) {
			continue
		}
		donors = append(donors, h)
	}
	q.random.Shuffle(len(donors), func(i, j int) { donors[i], donors[j] = donors[j], donors[i] })
	return donors
}

func (l *ledger) donor(h ident.Instance) *donor {
	d := l.donors[h]
	if d == nil {
		d = &donor{}
		l.donors[h] = d
	}
	return d
}

func (l *ledger) asking(h ident.Instance) bool {
	return slices.ContainsFunc(l.asks, func(a ask) bool { return a.to == h })
}

func (q *Quota) ask(l *ledger, to ident.Instance, count int64, now time.Time) {
	a := ask{to: to, nonce: q.random.Uint64() | 1, count: count, sent: now}
	l.asks = append(l.asks, a)
	m := peer.TokenRequest{Account: l.account, Count: ident.Tokens(count), Nonce: a.nonce}
	for i, g := range l.grants {
		if g.donor == to && g.left.Load() == 0 {
			m.Settled = g.nonce
			l.grants = slices.Delete(l.grants, i, i+1)
			break
		}
	}
	q.do(SendPeer{To: to, Message: m})
}

// given takes the answer to an ask. The tokens end by the time of the ask, so
// that an answer that was long under way gives less time. Answers to unknown
// asks, such as repeats, give nothing.
func (q *Quota) given(m GiveReceived, now time.Time) {
	l := q.ledgers[m.Give.Account]
	if l == nil {
		return
	}
	same := func(a ask) bool { return a.to == m.From && a.nonce == m.Give.Nonce }
	if i := slices.IndexFunc(l.late, same); i >= 0 {
		l.late = slices.Delete(l.late, i, i+1)
		if m.Give.Count > 0 {
			q.settle(l, m.From, m.Give.Nonce, int64(m.Give.Count))
		}
		return
	}
	i := slices.IndexFunc(l.asks, same)
	if i < 0 {
		return
	}
	a := l.asks[i]
	l.asks = slices.Delete(l.asks, i, i+1)
	next := m.Give.EndsIn
	if m.Give.Count > 0 {
		next = 0
	}
	q.rate(l, a, int64(m.Give.Count), next, now)
	end := a.sent.Add(m.Give.EndsIn)
	if m.Give.Count <= 0 || !now.Before(end) {
		q.borrow(l, now)
		return
	}
	assert.That(int64(m.Give.Count) <= a.count, "GiveAboveAsk", "%d given, %d asked", m.Give.Count, a.count)
	l.grants = append(l.grants, newGrant(m.From, m.Give.Part, a.nonce, m.Give.Count, q.limiter.at(end)))
	q.touch(l)
}

// rate leaves a donor alone for a while when it had less than was asked: at
// least until it says that it gains a token, and longer each time.
func (q *Quota) rate(l *ledger, a ask, count int64, next time.Duration, now time.Time) {
	d := l.donor(a.to)
	switch {
	case count >= a.count:
		d.dry = 0
		return
	case count > 0:
		d.dry = firstDry
	default:
		d.dry = min(longestDry, max(firstDry, 2*d.dry))
	}
	if next > d.dry {
		d.until = now.Add(min(next, longestDry))
		return
	}
	d.until = now.Add(q.jitter(d.dry))
}

// keepGrants settles grants that are spent or about to end, and forgets asks
// without an answer.
func (q *Quota) keepGrants(l *ledger, now time.Time) {
	at := q.limiter.at(now)
	surplus := q.surplus(l, at)
	kept := l.grants[:0]
	for _, g := range l.grants {
		left := g.left.Load()
		if !q.stopping && left > 0 && left > surplus && at < g.end-int64(minLoan) {
			kept = append(kept, g)
			continue
		}
		surplus -= left
		q.settle(l, g.donor, g.nonce, g.close())
		q.touch(l)
	}
	l.grants = kept
	asks := l.asks[:0]
	for _, a := range l.asks {
		if now.Sub(a.sent) < q.timing.AskTimeout {
			asks = append(asks, a)
			continue
		}
		l.late = append(l.late, a)
		q.rate(l, a, 0, longestDry, now)
	}
	l.asks = asks
	l.late = slices.DeleteFunc(l.late, func(a ask) bool { return now.Sub(a.sent) > lateMemory })
}

// surplus returns how many tokens are at hand beyond twice the stock.
func (q *Quota) surplus(l *ledger, at int64) int64 {
	if len(l.grants) == 0 {
		return 0
	}
	return l.limit.supply.Load().level(at) - 2*q.stock(l) - l.limit.waiting.Load()
}

// settle tells a donor that its tokens are spent here no more.
func (q *Quota) settle(l *ledger, donor ident.Instance, nonce uint64, unspent int64) {
	m := peer.TokenRequest{Account: l.account, Settled: nonce, Unspent: ident.Tokens(unspent)}
	q.do(SendPeer{To: donor, Message: m})
}

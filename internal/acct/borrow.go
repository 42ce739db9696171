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
	// minBackoff and maxBackoff bound the time before tokens are requested
	// again from a peer that had none.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// lateReplyWindow is how long the reply to a request that timed out is
	// still settled with its sender.
	lateReplyWindow = 5 * time.Second
	// missWindow is how long tokens are reserved for the retries of refused
	// callers.
	missWindow = 200 * time.Millisecond
	// minReserve is the demand during Timing.Reserve, in tokens, below which no
	// tokens are borrowed ahead of need.
	minReserve = 2
)

// tokenRequest is a request for tokens that was sent to a peer.
type tokenRequest struct {
	to     ident.Instance
	nonce  uint64
	count  int64
	sentAt time.Time
}

// lenderState tracks a peer that holds a part of the account's quota.
type lenderState struct {
	notBefore time.Time // no request before
	backoff   time.Duration
}

// reserve returns how many tokens to keep available on this instance: the mean
// demand during Timing.Reserve plus twice the standard deviation of a Poisson
// distribution with that mean, limited to half the burst in proportion to this
// instance's share of the rate. An instance with little demand reserves only as
// many tokens as it recently refused requests, so that an account's few tokens
// stay with the holders, where peers request them.
func (q *Quota) reserve(st *accountState) int64 {
	mean := st.demandRate * q.timing.Reserve.Seconds()
	share := min(1, st.demandRate/float64(max(1, st.division.rate)))
	limit := max(1, share*float64(st.division.burst)/2)
	if mean < minReserve {
		return int64(min(float64(st.missed), limit))
	}
	return int64(max(1, math.Round(min(mean+2*math.Sqrt(mean), limit))))
}

// recordMisses counts the requests that were refused without waiting. Their
// callers are expected to retry soon and should find a token then.
func (st *accountState) recordMisses(now time.Time) {
	if n := st.limit.missed.Swap(0); n > 0 {
		st.missed = n
		st.missedUntil = now.Add(missWindow)
	}
	if !now.Before(st.missedUntil) {
		st.missed = 0
	}
}

// borrow requests missing tokens from peers, ahead of need. While requests
// wait, it includes one more peer than needed, since a peer may have no token.
func (q *Quota) borrow(st *accountState, now time.Time) {
	st.recordMisses(now)
	waiting := st.limit.waiting.Load()
	target := min(q.reserve(st)+waiting, int64(st.division.burst))
	if target == 0 || q.stopping {
		return
	}
	missing := target - st.limit.sources.Load().level(q.limiter.nanos(now))
	for _, request := range st.requests {
		missing -= request.count
	}
	if missing <= 0 {
		return
	}
	peers := int(missing)
	if waiting > 0 {
		peers++
	}
	lenders := q.lenders(st, now)
	n := min(len(lenders), peers)
	if n == 0 {
		return
	}
	each := (missing + int64(n) - 1) / int64(n)
	for _, lender := range lenders[:n] {
		q.requestTokens(st, lender, each, now)
	}
}

// lenders returns the live holders of the account's parts from which tokens may
// be requested now, in random order.
func (q *Quota) lenders(st *accountState, now time.Time) []ident.Instance {
	var lenders []ident.Instance
	for _, s := range st.parts {
		holder := s.row.Holder
		if !st.inDivision(s) || holder == q.self || !s.heldElsewhere(now) || !slices.Contains(q.live, holder) {
			continue
		}
		if slices.Contains(lenders, holder) || st.requestPending(holder) || now.Before(st.lender(holder).notBefore) {
			continue
		}
		lenders = append(lenders, holder)
	}
	q.random.Shuffle(len(lenders), func(i, j int) { lenders[i], lenders[j] = lenders[j], lenders[i] })
	return lenders
}

func (st *accountState) lender(h ident.Instance) *lenderState {
	l := st.lenders[h]
	if l == nil {
		l = &lenderState{}
		st.lenders[h] = l
	}
	return l
}

func (st *accountState) requestPending(h ident.Instance) bool {
	return slices.ContainsFunc(st.requests, func(r tokenRequest) bool { return r.to == h })
}

func (q *Quota) requestTokens(st *accountState, to ident.Instance, count int64, now time.Time) {
	request := tokenRequest{to: to, nonce: q.random.Uint64() | 1, count: count, sentAt: now}
	st.requests = append(st.requests, request)
	message := peer.TokenRequest{Account: st.account, Count: ident.Tokens(count), Nonce: request.nonce}
	for i, b := range st.borrowed {
		if b.lender == to && b.left.Load() == 0 {
			message.Settled = b.nonce
			st.borrowed = slices.Delete(st.borrowed, i, i+1)
			break
		}
	}
	q.emit(SendPeer{To: to, Message: message})
}

// handleTokenLoan accepts the reply to a token request. The loan's term counts
// from when the request was sent, so a slow reply leaves less time to spend the
// tokens. The tokens of a reply that comes after the request timed out are
// settled as unspent. Replies to unknown requests, such as duplicates, are
// ignored.
func (q *Quota) handleTokenLoan(m TokenLoanReceived, now time.Time) {
	st := q.accounts[m.Loan.Account]
	if st == nil {
		return
	}
	same := func(request tokenRequest) bool { return request.to == m.From && request.nonce == m.Loan.Nonce }
	if i := slices.IndexFunc(st.timedOut, same); i >= 0 {
		st.timedOut = slices.Delete(st.timedOut, i, i+1)
		if m.Loan.Count > 0 {
			q.settleWithLender(st, m.From, m.Loan.Nonce, int64(m.Loan.Count))
		}
		return
	}
	i := slices.IndexFunc(st.requests, same)
	if i < 0 {
		return
	}
	request := st.requests[i]
	st.requests = slices.Delete(st.requests, i, i+1)
	retryIn := m.Loan.EndsIn
	if m.Loan.Count > 0 {
		retryIn = 0
	}
	q.updateBackoff(st, request, int64(m.Loan.Count), retryIn, now)
	end := request.sentAt.Add(m.Loan.EndsIn)
	if m.Loan.Count <= 0 || !now.Before(end) {
		q.borrow(st, now)
		return
	}
	assert.That(int64(m.Loan.Count) <= request.count, "GiveAboveAsk", "%d tokens lent, %d requested", m.Loan.Count, request.count)
	st.borrowed = append(st.borrowed, newBorrowedTokens(m.From, m.Loan.Part, request.nonce, m.Loan.Count, q.limiter.nanos(end)))
	q.markChanged(st)
}

// updateBackoff pauses requests to a lender that gave fewer tokens than
// requested: at least until the time at which it expects to gain a token, and
// with a backoff that doubles each time it has none.
func (q *Quota) updateBackoff(st *accountState, request tokenRequest, count int64, retryIn time.Duration, now time.Time) {
	l := st.lender(request.to)
	switch {
	case count >= request.count:
		l.backoff = 0
		return
	case count > 0:
		l.backoff = minBackoff
	default:
		l.backoff = min(maxBackoff, max(minBackoff, 2*l.backoff))
	}
	if retryIn > l.backoff {
		l.notBefore = now.Add(min(retryIn, maxBackoff))
		return
	}
	l.notBefore = now.Add(q.jitter(l.backoff))
}

// maintainBorrowed settles loans that are spent, surplus or about to end, and
// times out requests without a reply.
func (q *Quota) maintainBorrowed(st *accountState, now time.Time) {
	at := q.limiter.nanos(now)
	surplus := q.surplus(st, at)
	kept := st.borrowed[:0]
	for _, b := range st.borrowed {
		left := b.left.Load()
		if !q.stopping && left > 0 && left > surplus && at < b.end-int64(minLoan) {
			kept = append(kept, b)
			continue
		}
		surplus -= left
		q.settleWithLender(st, b.lender, b.nonce, b.close())
		q.markChanged(st)
	}
	st.borrowed = kept
	requests := st.requests[:0]
	for _, request := range st.requests {
		if now.Sub(request.sentAt) < q.timing.RequestTimeout {
			requests = append(requests, request)
			continue
		}
		st.timedOut = append(st.timedOut, request)
		q.updateBackoff(st, request, 0, maxBackoff, now)
	}
	st.requests = requests
	st.timedOut = slices.DeleteFunc(st.timedOut, func(request tokenRequest) bool { return now.Sub(request.sentAt) > lateReplyWindow })
}

// surplus returns how many available tokens exceed twice the reserve.
func (q *Quota) surplus(st *accountState, at int64) int64 {
	if len(st.borrowed) == 0 {
		return 0
	}
	return st.limit.sources.Load().level(at) - 2*q.reserve(st) - st.limit.waiting.Load()
}

// settleWithLender informs a lender that this instance spends no more tokens of
// its loan, and how many were left unspent.
func (q *Quota) settleWithLender(st *accountState, lender ident.Instance, nonce uint64, unspent int64) {
	message := peer.TokenRequest{Account: st.account, Settled: nonce, Unspent: ident.Tokens(unspent)}
	q.emit(SendPeer{To: lender, Message: message})
}

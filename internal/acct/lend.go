package acct

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// minLoan is the shortest loan that is worth a message.
const minLoan = 50 * time.Millisecond

// handleTokenRequest lends tokens to a peer, and ends the loan that the peer
// settles.
func (q *Quota) handleTokenRequest(m TokenRequestReceived, now time.Time) {
	st := q.accounts[m.Request.Account]
	if st == nil {
		return
	}
	if m.Request.Settled != 0 {
		q.settleLoan(st, m, now)
	}
	if m.Request.Count <= 0 || st.alreadyLent(m.From, m.Request.Nonce) {
		return
	}
	q.lend(st, m, now)
}

func (q *Quota) settleLoan(st *accountState, m TokenRequestReceived, now time.Time) {
	for _, s := range st.parts {
		if s.held() && s.settleLoan(m.From, m.Request.Settled, int64(m.Request.Unspent), q.limiter.nanos(now)) {
			return
		}
	}
}

// lend debits the part before it sends the tokens. If the message is lost, so
// are the tokens.
func (q *Quota) lend(st *accountState, m TokenRequestReceived, now time.Time) {
	s, spare := st.fullestPart(q.limiter.nanos(now), now)
	reply := peer.TokenLoan{Account: st.account, Nonce: m.Request.Nonce}
	if s != nil {
		spare -= int64(st.demandRate * q.timing.Reserve.Seconds())
		reply.Part = s.key.Part
		reply.EndsIn = min(q.timing.Loan, s.leaseEnd.Sub(now))
		reply.Count = ident.Tokens(min(spare, int64(m.Request.Count)))
	}
	if reply.Count < 1 || reply.EndsIn < minLoan || !s.bucket.lend(int64(reply.Count), q.limiter.nanos(now)) {
		reply.Count, reply.EndsIn = 0, st.nextTokenIn(q.limiter.nanos(now), now)
		q.emit(SendPeer{To: m.From, Message: reply})
		return
	}
	s.loans = append(s.loans, loan{to: m.From, nonce: m.Request.Nonce, count: int64(reply.Count), end: now.Add(reply.EndsIn)})
	assert.That(!now.Add(reply.EndsIn).After(s.leaseEnd), "LoanOutlivesLease", "part %d", s.key.Part)
	q.emit(SendPeer{To: m.From, Message: reply})
}

// fullestPart returns the usable part with the most tokens, and how many it
// has.
func (st *accountState) fullestPart(at int64, now time.Time) (*partState, int64) {
	var best *partState
	most := int64(0)
	for _, s := range st.parts {
		if !s.usable(now) {
			continue
		}
		if n := s.bucket.level(at); n > most {
			best, most = s, n
		}
	}
	return best, most
}

// nextTokenIn returns the time until a part held here gains a token, at most
// maxBackoff.
func (st *accountState) nextTokenIn(at int64, now time.Time) time.Duration {
	wait := maxBackoff
	for _, s := range st.parts {
		if s.usable(now) {
			wait = min(wait, time.Duration(s.bucket.wait(at)))
		}
	}
	return wait
}

// alreadyLent reports whether a loan was already made for the request, as when
// a message is duplicated.
func (st *accountState) alreadyLent(to ident.Instance, nonce uint64) bool {
	for _, s := range st.parts {
		for _, l := range s.loans {
			if l.to == to && l.nonce == nonce {
				return true
			}
		}
	}
	return false
}

package acct

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// minLoan is the shortest loan worth a message.
const minLoan = 50 * time.Millisecond

// asked lends tokens to a peer, and ends the loan that the peer settles.
func (q *Quota) asked(m AskReceived, now time.Time) {
	l := q.ledgers[m.Ask.Account]
	if l == nil {
		return
	}
	if m.Ask.Settled != 0 {
		q.settled(l, m, now)
	}
	if m.Ask.Count <= 0 || l.lent(m.From, m.Ask.Nonce) {
		return
	}
	q.lend(l, m, now)
}

func (q *Quota) settled(l *ledger, m AskReceived, now time.Time) {
	for _, s := range l.shares {
		if s.mine() && s.settle(m.From, m.Ask.Settled, int64(m.Ask.Unspent), q.limiter.at(now)) {
			return
		}
	}
}

// lend debits the part first and then promises the tokens. A promise that is
// lost loses them.
func (q *Quota) lend(l *ledger, m AskReceived, now time.Time) {
	s, spare := l.richest(q.limiter.at(now), now)
	give := peer.TokenLoan{Account: l.account, Nonce: m.Ask.Nonce}
	if s != nil {
		spare -= int64(l.demand * q.timing.Stock.Seconds())
		give.Part = s.key.Part
		give.EndsIn = min(q.timing.Loan, s.end.Sub(now))
		give.Count = ident.Tokens(min(spare, int64(m.Ask.Count)))
	}
	if give.Count < 1 || give.EndsIn < minLoan || !s.bucket.lend(int64(give.Count), q.limiter.at(now)) {
		give.Count, give.EndsIn = 0, l.nextToken(q.limiter.at(now), now)
		q.do(SendPeer{To: m.From, Message: give})
		return
	}
	s.loans = append(s.loans, loan{to: m.From, nonce: m.Ask.Nonce, count: int64(give.Count), end: now.Add(give.EndsIn)})
	assert.That(!now.Add(give.EndsIn).After(s.end), "LoanOutlivesLease", "part %d", s.key.Part)
	q.do(SendPeer{To: m.From, Message: give})
}

// richest returns the share with the most tokens.
func (l *ledger) richest(at int64, now time.Time) (*share, int64) {
	var best *share
	most := int64(0)
	for _, s := range l.shares {
		if !s.usable(now) {
			continue
		}
		if n := s.bucket.level(at); n > most {
			best, most = s, n
		}
	}
	return best, most
}

// nextToken returns how long it takes until a part here gains a token.
func (l *ledger) nextToken(at int64, now time.Time) time.Duration {
	wait := longestDry
	for _, s := range l.shares {
		if s.usable(now) {
			wait = min(wait, time.Duration(s.bucket.wait(at)))
		}
	}
	return wait
}

// lent reports whether a loan already answers the ask, as when a message is
// repeated.
func (l *ledger) lent(to ident.Instance, nonce uint64) bool {
	for _, s := range l.shares {
		for _, n := range s.loans {
			if n.to == to && n.nonce == nonce {
				return true
			}
		}
	}
	return false
}

package acct

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// sendRequest simulates one request of an account at an instance.
func (s *simulation) sendRequest(n *simNode, account ident.Account) {
	s.records[account].offered++
	n.run(func() {
		l := n.quota.limiter.limitOf(account)
		if l == nil {
			return
		}
		l.attempts.Add(1)
		if s.trySpend(n, l, account) {
			return
		}
		if !s.callersWait {
			l.refused.Add(1)
			l.missed.Add(1)
			s.records[account].refuse(s.now)
			n.update(shortageMsg(l))
			return
		}
		l.waiting.Add(1)
		n.update(shortageMsg(l))
		s.retrySpend(n, l, account, s.now.Add(maxSpendWait))
	})
}

func shortageMsg(l *accountLimit) Msg {
	l.shortage.Store(true)
	return TokensShort{}
}

func (s *simulation) retrySpend(n *simNode, l *accountLimit, account ident.Account, deadline time.Time) {
	s.after(maxSpendWait/6, func() {
		n.run(func() {
			switch {
			case s.trySpend(n, l, account):
			case s.now.Before(deadline):
				s.retrySpend(n, l, account, deadline)
				return
			default:
				l.refused.Add(1)
				s.records[account].refuse(s.now)
			}
			l.waiting.Add(-1)
		})
	})
}

func (s *simulation) trySpend(n *simNode, l *accountLimit, account ident.Account) bool {
	part, ok := n.spend(l, account)
	if !ok {
		return false
	}
	if s.refunding() && s.random.Float64() < s.refundShare {
		// A request that does not run does not count as admitted.
		s.after(s.between(0, refundWindow-time.Second), func() {
			n.run(func() { s.refundToken(n, l) })
		})
		return true
	}
	s.records[account].admit(s.now)
	part.spentAt = append(part.spentAt, s.now)
	return true
}

// spend takes a token as tokenSources.spend does, and returns the part that it
// came from.
func (n *simNode) spend(l *accountLimit, account ident.Account) (*partRecord, bool) {
	at := n.quota.limiter.nanos(n.sim.now)
	s := l.sources.Load()
	for _, b := range s.borrowed {
		if b.spend(at) {
			if b.left.Load() == 0 {
				n.deliver(shortageMsg(l), 0)
			}
			return n.sim.part(account, b.part), true
		}
	}
	for _, b := range s.buckets {
		if !b.spend(at) {
			continue
		}
		return n.sim.part(account, n.partOf(account, b)), true
	}
	return nil, false
}

func (n *simNode) partOf(account ident.Account, b *bucket) ident.Part {
	for _, s := range n.quota.accounts[account].parts {
		if s.bucket == b {
			return s.key.Part
		}
	}
	panic("spent from a bucket of no held part")
}

func (s *simulation) part(account ident.Account, part ident.Part) *partRecord {
	return s.records[account].parts[part]
}

func (s *simulation) refundToken(n *simNode, l *accountLimit) {
	at := n.quota.limiter.nanos(s.now)
	if !s.unboundedRefunds {
		l.sources.Load().refund(at)
		return
	}
	for _, b := range l.sources.Load().buckets {
		b.add(1, at)
		return
	}
}

// offerLoad sends requests of an account as a Poisson process with the given
// rate until end. pick chooses the instance; no requests are sent while quiet
// returns true.
func (s *simulation) offerLoad(account ident.Account, rate float64, end time.Time, pick func([]*simNode) *simNode, quiet func() bool) {
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.after(gap, func() {
		if s.now.After(end) {
			return
		}
		if live := s.live(); len(live) > 0 && !quiet() {
			s.sendRequest(pick(live), account)
		}
		s.offerLoad(account, rate, end, pick, quiet)
	})
}

// pausing reports whether callers pause, so that buckets fill up.
func (s *simulation) pausing() bool {
	return s.phase > 0 && s.now.Sub(s.start)/s.phase%2 == 1
}

// refunding reports whether requests may end without having run: in every other
// busy phase.
func (s *simulation) refunding() bool {
	return s.phase > 0 && s.now.Sub(s.start)/s.phase%4 == 0
}

func (s *simulation) anyNode(live []*simNode) *simNode { return live[s.random.IntN(len(live))] }

func never() bool { return false }

func firstNode(live []*simNode) *simNode { return live[0] }

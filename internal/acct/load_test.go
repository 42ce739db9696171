package acct

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// request offers one request of an account at an instance.
func (s *simulation) request(n *simNode, account ident.Account) {
	s.records[account].offered++
	n.run(func() {
		l := n.quota.limiter.of(account)
		if l == nil {
			return
		}
		l.tried.Add(1)
		if s.spend(n, l, account) {
			return
		}
		if !s.wait {
			l.refused.Add(1)
			l.missed.Add(1)
			s.records[account].refuse(s.now)
			n.update(short(l))
			return
		}
		l.waiting.Add(1)
		n.update(short(l))
		s.retry(n, l, account, s.now.Add(spendWait))
	})
}

func short(l *limit) Msg {
	l.short.Store(true)
	return TokensShort{}
}

func (s *simulation) retry(n *simNode, l *limit, account ident.Account, deadline time.Time) {
	s.after(spendWait/6, func() {
		n.run(func() {
			switch {
			case s.spend(n, l, account):
			case s.now.Before(deadline):
				s.retry(n, l, account, deadline)
				return
			default:
				l.refused.Add(1)
				s.records[account].refuse(s.now)
			}
			l.waiting.Add(-1)
		})
	})
}

func (s *simulation) spend(n *simNode, l *limit, account ident.Account) bool {
	part, ok := n.spend(l, account)
	if !ok {
		return false
	}
	if s.ending() && s.random.Float64() < s.giveBack {
		// A request that ends not run does not count.
		s.after(s.between(0, returnWindow-time.Second), func() {
			n.run(func() { s.returnToken(n, l) })
		})
		return true
	}
	s.records[account].admit(s.now)
	part.spent = append(part.spent, s.now)
	return true
}

// spend is supply.spend, and tells the part.
func (n *simNode) spend(l *limit, account ident.Account) (*simPart, bool) {
	at := n.quota.limiter.at(n.sim.now)
	s := l.supply.Load()
	for _, g := range s.grants {
		if g.spend(at) {
			if g.left.Load() == 0 {
				n.tell(short(l), 0)
			}
			return n.sim.part(account, g.part), true
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
	for _, s := range n.quota.ledgers[account].shares {
		if s.bucket == b {
			return s.key.Part
		}
	}
	panic("spent from a bucket that is not held")
}

func (s *simulation) part(account ident.Account, part ident.Part) *simPart {
	return s.records[account].parts[part]
}

func (s *simulation) returnToken(n *simNode, l *limit) {
	at := n.quota.limiter.at(s.now)
	if !s.careless {
		l.supply.Load().giveBack(at)
		return
	}
	for _, b := range l.supply.Load().buckets {
		b.add(1, at)
		return
	}
}

// offer sends Poisson requests of an account at rate until end. Pick chooses
// the instance.
func (s *simulation) offer(account ident.Account, rate float64, end time.Time, pick func([]*simNode) *simNode, quiet func() bool) {
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.after(gap, func() {
		if s.now.After(end) {
			return
		}
		if live := s.live(); len(live) > 0 && !quiet() {
			s.request(pick(live), account)
		}
		s.offer(account, rate, end, pick, quiet)
	})
}

// pausing reports whether callers pause, so that buckets fill up.
func (s *simulation) pausing() bool {
	return s.phase > 0 && s.now.Sub(s.start)/s.phase%2 == 1
}

// ending reports whether requests may end not run: in every other busy phase.
func (s *simulation) ending() bool {
	return s.phase > 0 && s.now.Sub(s.start)/s.phase%4 == 0
}

func (s *simulation) anyNode(live []*simNode) *simNode { return live[s.random.IntN(len(live))] }

func never() bool { return false }

func firstNode(live []*simNode) *simNode { return live[0] }

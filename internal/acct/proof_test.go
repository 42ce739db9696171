package acct

import (
	"fmt"
	"testing"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/peer"
)

// proofSeeds are tried until one shows the fault.
const proofSeeds = 12

// The cases of TestBoundNeedsMechanism switch one mechanism off from outside.
func TestBoundNeedsMechanism(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		scenario scenario
		change   func(*simulation)
	}{
		{"taker waits for the whole lease", holding(), func(s *simulation) { s.sabotage = takeEarly }},
		{"spend checks the lease end", holding(), func(s *simulation) { s.sabotage = ignoreEnd }},
		{"lease counts from before the renewal", answering(), func(s *simulation) { s.sabotage = countFromAnswer }},
		{"witness forgets its promise", holding(), func(s *simulation) { s.sabotage = forgetPromises }},
		{"witness promises what it took", holding(), func(s *simulation) { s.sabotage = promiseAlways }},
		{"taken part starts empty", moving(), func(s *simulation) { s.sabotage = startFull }},
		{"donor debits", lending(), func(s *simulation) { s.sabotage = lendForNothing }},
		{"donor lowers its limit", lending(), func(s *simulation) { s.sabotage = keepLimit }},
		{"loan ends at the borrower", standing(), func(s *simulation) { s.sabotage = keepGrantsForever }},
		{"answer counts once", lending(), func(s *simulation) { s.sabotage = countRepeats }},
		{"returns are bounded", failing(), func(s *simulation) { s.careless = true }},
		{"claim is confirmed by a read", changing(), func(s *simulation) { s.sabotage = confirmAtOnce }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(proofSeeds) {
				if how := c.scenario.outcome(seed, c.change); how != "" {
					t.Logf("seed %d: %s", seed, how)
					return
				}
			}
			t.Fatal("the bound held without the mechanism")
		})
	}
}

// outcome says how the bound or an assertion broke, empty when neither did.
func (c scenario) outcome(seed uint64, change func(*simulation)) (how string) {
	defer func() {
		if p := recover(); p != nil {
			how = fmt.Sprint(p)
		}
	}()
	s := c.run(seed, change)
	if a, e := s.worst(); e > 0 {
		return fmt.Sprintf("%s exceeded its bound by %d thousandths of a token", a, e)
	}
	return ""
}

func takeEarly(n *simNode, _ Msg) {
	for _, l := range n.quota.ledgers {
		for _, s := range l.shares {
			if !s.mine() && n.sim.now.Sub(s.seen) > time.Second {
				s.seen = n.sim.now.Add(-time.Minute)
			}
		}
	}
}

func eachHeld(n *simNode, f func(*ledger, *share)) {
	for _, l := range n.quota.ledgers {
		for _, s := range l.shares {
			if s.mine() {
				f(l, s)
			}
		}
	}
}

func startFull(n *simNode, _ Msg) {
	eachHeld(n, func(_ *ledger, s *share) {
		if s.confirmed && !n.filled[s.bucket] {
			n.filled[s.bucket] = true
			s.bucket.zero.Store(0)
		}
	})
}

func ignoreEnd(n *simNode, _ Msg) {
	eachHeld(n, func(_ *ledger, s *share) {
		s.end = n.sim.now.Add(time.Hour)
		s.bucket.end.Store(closed)
	})
}

func countFromAnswer(n *simNode, m Msg) {
	q := n.quota
	if a, ok := m.(WitnessAnswered); ok && q.witnesses[a.From] != nil && q.witnesses[a.From].answered.Equal(n.sim.now) {
		q.witnesses[a.From].until = n.sim.now.Add(a.Hold.Length)
	}
	d, ok := m.(SwapDone)
	eachHeld(n, func(l *ledger, s *share) {
		if ok && d.Result == SwapOK && s.key == d.Fresh.Key {
			s.sent = n.sim.now
		}
		q.extend(l, s, n.sim.now)
	})
}

func forgetPromises(n *simNode, _ Msg) { clear(n.quota.promised) }

func promiseAlways(n *simNode, m Msg) {
	if a, ok := m.(WitnessAsked); ok {
		n.perform(SendPeer{To: a.From, Message: peer.LeasePromise{Nonce: a.Ask.Nonce, Length: n.sim.timing.Promise}})
	}
}

func confirmAtOnce(n *simNode, _ Msg) {
	eachHeld(n, func(l *ledger, s *share) {
		if !s.confirmed && !s.leaving {
			s.confirmed = true
			s.bucket.open(0, n.quota.limiter.at(n.sim.now))
			l.limit.replace(l.supply(n.sim.now))
		}
	})
}

func lendForNothing(n *simNode, m Msg) {
	if _, ok := m.(AskReceived); ok {
		eachHeld(n, func(_ *ledger, s *share) {
			for _, l := range s.loans {
				s.bucket.settle(l.count, l.count, n.quota.limiter.at(n.sim.now))
			}
			s.loans = nil
		})
	}
}

func keepLimit(n *simNode, m Msg) {
	if _, ok := m.(AskReceived); ok {
		eachHeld(n, func(_ *ledger, s *share) {
			for _, l := range s.loans {
				s.bucket.settle(l.count, 0, n.quota.limiter.at(n.sim.now))
			}
			s.loans = nil
		})
	}
}

func keepGrantsForever(n *simNode, _ Msg) {
	for _, l := range n.quota.ledgers {
		for _, g := range l.grants {
			g.end += int64(time.Hour)
		}
	}
}

func countRepeats(n *simNode, m Msg) {
	if d, ok := m.(GiveReceived); ok {
		l := n.quota.ledger(d.Give.Account)
		l.asks = append(l.asks, ask{to: d.From, nonce: d.Give.Nonce, count: int64(d.Give.Count), sent: n.sim.now})
	}
}

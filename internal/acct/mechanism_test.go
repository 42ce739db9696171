package acct

import (
	"fmt"
	"testing"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/peer"
)

// safeguardSeeds is the number of seeds tried until one shows the violation.
const safeguardSeeds = 12

// Each case disables one safeguard and expects a violation of the quota bound
// or of an assertion.
func TestBoundNeedsMechanism(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		scenario scenario
		change   func(*simulation)
	}{
		{"claim waits for the whole lease", staleHolders(), func(s *simulation) { s.afterUpdate = claimEarly }},
		{"spend checks the lease end", staleHolders(), func(s *simulation) { s.afterUpdate = ignoreLeaseEnd }},
		{"lease counts from before the renewal", slowReplies(), func(s *simulation) { s.afterUpdate = countFromReply }},
		{"witness keeps its promise", staleHolders(), func(s *simulation) { s.afterUpdate = forgetPromises }},
		{"witness promises no claimed lease", staleHolders(), func(s *simulation) { s.afterUpdate = alwaysPromise }},
		{"claimed part starts empty", movingParts(), func(s *simulation) { s.afterUpdate = startWithFullBucket }},
		{"lender debits its part", heavyLending(), func(s *simulation) { s.afterUpdate = lendWithoutDebit }},
		{"lender lowers its limit", heavyLending(), func(s *simulation) { s.afterUpdate = keepLimitWhileLent }},
		{"loan ends at the borrower", pausedBorrowers(), func(s *simulation) { s.afterUpdate = neverEndLoans }},
		{"reply counts once", heavyLending(), func(s *simulation) { s.afterUpdate = acceptRepeats }},
		{"refunds are bounded", failingRequests(), func(s *simulation) { s.unboundedRefunds = true }},
		{"claim is confirmed by a read", changingQuotas(), func(s *simulation) { s.afterUpdate = confirmWithoutRead }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(safeguardSeeds) {
				if description := c.scenario.violation(seed, c.change); description != "" {
					t.Logf("seed %d: %s", seed, description)
					return
				}
			}
			t.Fatal("no violation without the safeguard")
		})
	}
}

// violation runs the scenario and describes how the bound or an assertion was
// violated, "" if neither was.
func (c scenario) violation(seed uint64, change func(*simulation)) (description string) {
	defer func() {
		if p := recover(); p != nil {
			description = fmt.Sprint(p)
		}
	}()
	s := c.run(seed, change)
	if a, e := s.worstExcess(); e > 0 {
		return fmt.Sprintf("%s exceeded its bound by %d thousandths of a token", a, e)
	}
	return ""
}

func claimEarly(n *simNode, _ Msg) {
	for _, st := range n.quota.accounts {
		for _, s := range st.parts {
			if !s.held() && n.sim.now.Sub(s.changedAt) > time.Second {
				s.changedAt = n.sim.now.Add(-time.Minute)
			}
		}
	}
}

func eachHeld(n *simNode, f func(*accountState, *partState)) {
	for _, st := range n.quota.accounts {
		for _, s := range st.parts {
			if s.held() {
				f(st, s)
			}
		}
	}
}

func startWithFullBucket(n *simNode, _ Msg) {
	eachHeld(n, func(_ *accountState, s *partState) {
		if s.confirmed && !n.filled[s.bucket] {
			n.filled[s.bucket] = true
			s.bucket.emptyAt.Store(0)
		}
	})
}

func ignoreLeaseEnd(n *simNode, _ Msg) {
	eachHeld(n, func(_ *accountState, s *partState) {
		s.leaseEnd = n.sim.now.Add(time.Hour)
		s.bucket.end.Store(closed)
	})
}

func countFromReply(n *simNode, m Msg) {
	q := n.quota
	if a, ok := m.(LeasePromiseReceived); ok && q.witnesses[a.From] != nil && q.witnesses[a.From].repliedAt.Equal(n.sim.now) {
		q.witnesses[a.From].promisedUntil = n.sim.now.Add(a.Promise.Length)
	}
	d, ok := m.(SwapDone)
	eachHeld(n, func(st *accountState, s *partState) {
		if ok && d.Result == SwapOK && s.key == d.New.Key {
			s.sentAt = n.sim.now
		}
		q.updateLeaseEnd(st, s, n.sim.now)
	})
}

func forgetPromises(n *simNode, _ Msg) { clear(n.quota.promisedAt) }

func alwaysPromise(n *simNode, m Msg) {
	if a, ok := m.(LeaseRequestReceived); ok {
		n.execute(SendPeer{To: a.From, Message: peer.LeasePromise{Nonce: a.Request.Nonce, Length: n.sim.timing.Promise}})
	}
}

func confirmWithoutRead(n *simNode, _ Msg) {
	eachHeld(n, func(st *accountState, s *partState) {
		if !s.confirmed && !s.releasing {
			s.confirmed = true
			s.bucket.open(0, n.quota.limiter.nanos(n.sim.now))
			st.limit.replaceSources(st.sources(n.sim.now))
		}
	})
}

func lendWithoutDebit(n *simNode, m Msg) {
	if _, ok := m.(TokenRequestReceived); ok {
		eachHeld(n, func(_ *accountState, s *partState) {
			for _, l := range s.loans {
				s.bucket.settleLoan(l.count, l.count, n.quota.limiter.nanos(n.sim.now))
			}
			s.loans = nil
		})
	}
}

func keepLimitWhileLent(n *simNode, m Msg) {
	if _, ok := m.(TokenRequestReceived); ok {
		eachHeld(n, func(_ *accountState, s *partState) {
			for _, l := range s.loans {
				s.bucket.settleLoan(l.count, 0, n.quota.limiter.nanos(n.sim.now))
			}
			s.loans = nil
		})
	}
}

func neverEndLoans(n *simNode, _ Msg) {
	for _, st := range n.quota.accounts {
		for _, b := range st.borrowed {
			b.end += int64(time.Hour)
		}
	}
}

func acceptRepeats(n *simNode, m Msg) {
	if d, ok := m.(TokenLoanReceived); ok {
		st := n.quota.account(d.Loan.Account)
		st.requests = append(st.requests, tokenRequest{to: d.From, nonce: d.Loan.Nonce, count: int64(d.Loan.Count), sentAt: n.sim.now})
	}
}

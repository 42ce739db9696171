package acct

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

func account(name ident.Account, rate, burst ident.Tokens) envdoc.Account {
	return envdoc.Account{Name: name, Rate: rate, Burst: burst, Weight: 1}
}

func (s *simulation) worstExcess() (ident.Account, int64) {
	name, worst := ident.Account(""), int64(-1<<62)
	for a, r := range s.records {
		if e := r.excess(); e > worst {
			name, worst = a, e
		}
	}
	return name, worst
}

func TestBoundHolds(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]scenario{
		"all faults": allFaults(), "stale holders": staleHolders(), "slow replies": slowReplies(),
		"moving parts": movingParts(), "heavy lending": heavyLending(), "paused borrowers": pausedBorrowers(),
		"failing requests": failingRequests(), "changing quotas": changingQuotas(),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			for i := range *seedCount {
				seed := *firstSeed + i
				s := c.run(seed, nil)
				a, e := s.worstExcess()
				g.Expect(e).To(BeNumerically("<=", 0), "seed %d account %s", seed, a)
				r := s.records[a]
				t.Logf("seed %d: closest to the bound is %s, excess %d thousandths of a token; %d of %d admitted",
					seed, a, e, len(r.admittedAt), r.offered)
			}
		})
	}
}

// Once a document that lowers rate and burst is in force on all instances, the
// lower bound holds.
func TestLowerBoundHoldsAfterDocument(t *testing.T) {
	t.Parallel()
	for _, to := range []envdoc.Account{account("busy", 50, 70), account("busy", 30, 20)} {
		g := NewWithT(t)
		c := changingQuotas()
		c.accounts = []envdoc.Account{account("busy", 100, 80)}
		c.faults, c.length = nil, 20*time.Second
		s := c.run(1, func(s *simulation) {
			s.after(5*time.Second, func() { s.setAccounts(to) })
			s.after(12*time.Second, func() {
				r := &accountRecord{parts: make(map[ident.Part]*partRecord)}
				r.raiseBound(to)
				s.records["busy"] = r
			})
		})
		g.Expect(len(s.records["busy"].admittedAt)).To(BeNumerically(">", 100))
		g.Expect(s.records["busy"].excess()).To(BeNumerically("<=", 0))
	}
}

// Crashed instances that are still in the live list are tried as witnesses one
// after another, with few writes and without a gap in which parts are not held.
func TestSilentWitnesses(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newSimulation(1, DefaultTiming(DefaultLease), account("busy", 100, 64))
	for range 4 {
		s.addNode()
	}
	s.runFor(time.Minute)
	for _, n := range s.nodes[1:] {
		n.dead = true
	}
	before := s.swaps
	held := s.nodes[0].quota.accounts["busy"].heldParts()
	s.runFor(20 * time.Second)
	st := s.nodes[0].quota.accounts["busy"]
	g.Expect(s.swaps - before).To(BeNumerically("<=", 8*8))
	g.Expect(st.heldParts()).To(BeNumerically(">=", held))
	g.Expect(st.limit.sources.Load().buckets).To(HaveLen(st.heldParts()))
}

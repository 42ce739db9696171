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

func (s *simulation) worst() (ident.Account, int64) {
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
		"storm": storm(), "holding": holding(), "answering": answering(), "moving": moving(),
		"lending": lending(), "standing": standing(), "failing": failing(), "changing": changing(),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			for i := range *seedCount {
				seed := *firstSeed + i
				s := c.run(seed, nil)
				a, e := s.worst()
				g.Expect(e).To(BeNumerically("<=", 0), "seed %d account %s", seed, a)
				r := s.records[a]
				t.Logf("seed %d: nearest to the bound is %s, %d thousandths of a token; %d of %d admitted",
					seed, a, e, len(r.admitted), r.offered)
			}
		})
	}
}

// Once a document that lowers rate and burst is in force everywhere, the lower
// bound holds.
func TestLowerDocumentIsKept(t *testing.T) {
	t.Parallel()
	for _, to := range []envdoc.Account{account("busy", 50, 70), account("busy", 30, 20)} {
		g := NewWithT(t)
		c := changing()
		c.accounts = []envdoc.Account{account("busy", 100, 80)}
		c.faults, c.length = nil, 20*time.Second
		s := c.run(1, func(s *simulation) {
			s.after(5*time.Second, func() { s.setAccounts(to) })
			s.after(12*time.Second, func() {
				r := &simRecord{parts: make(map[ident.Part]*simPart)}
				r.allow(to)
				s.records["busy"] = r
			})
		})
		g.Expect(len(s.records["busy"].admitted)).To(BeNumerically(">", 100))
		g.Expect(s.records["busy"].excess()).To(BeNumerically("<=", 0))
	}
}

// Dead instances that linger in the live list are tried as witnesses one after
// the other, without a storm of writes and without a gap.
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
	held := s.nodes[0].quota.ledgers["busy"].held()
	s.runFor(20 * time.Second)
	l := s.nodes[0].quota.ledgers["busy"]
	g.Expect(s.swaps - before).To(BeNumerically("<=", 8*8))
	g.Expect(l.held()).To(BeNumerically(">=", held))
	g.Expect(l.limit.supply.Load().buckets).To(HaveLen(l.held()))
}

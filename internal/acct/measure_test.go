package acct

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The targets for requests that were refused although a central bucket would
// have had a token.
const (
	wrongfulQuiet  = 0.001
	wrongfulFaults = 0.01
)

// fleet runs eight instances with callers at seven tenths of each account's
// rate: evenly over the instances, all at one, at two, and evenly but few.
func fleet(seed uint64, length time.Duration, fault func(*simulation)) *simulation {
	s := newSimulation(seed, DefaultTiming(DefaultLease),
		account("even", 200, 60), account("skewed", 100, 30), account("sticky", 40, 16), account("small", 10, 5))
	s.wait = true
	for range 8 {
		s.addNode()
	}
	s.runFor(time.Minute)
	fault(s)
	pairNode := func(live []*simNode) *simNode { return live[s.random.IntN(2)] }
	picks := []func([]*simNode) *simNode{s.anyNode, firstNode, pairNode, s.anyNode}
	end := s.now.Add(length)
	for i, a := range s.accounts {
		s.offer(a.Name, float64(a.Rate)*0.7, end, picks[i], never)
	}
	s.runFor(length)
	return s
}

func TestWrongfulRefusals(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		length time.Duration
		target float64
		fault  func(*simulation)
	}{
		{"quiet", 3 * time.Minute, wrongfulQuiet, func(*simulation) {}},
		{"one instance killed", 2 * time.Minute, wrongfulFaults, func(s *simulation) {
			s.after(20*time.Second, func() { s.kill(s.live()[3]) })
		}},
		{"one instance stopped", 2 * time.Minute, wrongfulFaults, func(s *simulation) {
			s.after(20*time.Second, func() { s.live()[3].tell(StopRequested{}, 0) })
			s.after(25*time.Second, func() { s.spreadLive(5 * time.Second) })
		}},
		{"store out for ten minutes", 10 * time.Minute, wrongfulFaults, func(s *simulation) { s.table.down = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := fleet(1, c.length, c.fault)
			offered, wrong := 0, 0
			for _, a := range s.accounts {
				r := s.records[a.Name]
				offered += r.offered
				wrong += r.wrong
				t.Logf("%s: %d offered, %d refused, wrongfully %.3f %%", a.Name, r.offered, r.refused, 100*r.wrongShare())
				g.Expect(r.excess()).To(BeNumerically("<=", 0))
			}
			g.Expect(float64(wrong) / float64(offered)).To(BeNumerically("<", c.target))
			for name, r := range s.records {
				g.Expect(r.wrongShare()).To(BeNumerically("<", c.target), string(name))
			}
			t.Logf("%d messages, %d writes of the store", s.messages, s.swaps)
		})
	}
}

// The naive version divides each account's quota over the instances for good.
func TestLendingAgainstStaticDivision(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	lending := fleet(1, time.Minute, func(*simulation) {})
	divided := fleet(1, time.Minute, func(s *simulation) { s.divided = true })
	for _, a := range lending.accounts {
		l, d := lending.records[a.Name].wrongShare(), divided.records[a.Name].wrongShare()
		t.Logf("%s: wrongfully refused %.3f %%, by static division %.3f %%", a.Name, 100*l, 100*d)
		g.Expect(l).To(BeNumerically("<=", d))
	}
}

func TestSimulationRepeats(t *testing.T) {
	g := NewWithT(t)
	a, b := storm().run(7, nil), storm().run(7, nil)
	g.Expect(a.messages).To(Equal(b.messages))
	g.Expect(a.swaps).To(Equal(b.swaps))
	for name, r := range a.records {
		g.Expect(r.admitted).To(Equal(b.records[name].admitted))
	}
}

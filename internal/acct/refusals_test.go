package acct

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Upper limits for the share of requests that are refused although a central
// token bucket would have had a token.
const (
	maxWrongfulQuiet  = 0.001
	maxWrongfulFaults = 0.01
)

// runFleet simulates eight instances whose callers send seven tenths of each
// account's rate: evenly over the instances, all at one instance, at two of
// them, and evenly at a low rate.
func runFleet(seed uint64, length time.Duration, fault func(*simulation)) *simulation {
	s := newSimulation(seed, DefaultTiming(DefaultLease),
		account("even", 200, 60), account("skewed", 100, 30), account("sticky", 40, 16), account("small", 10, 5))
	s.callersWait = true
	for range 8 {
		s.addNode()
	}
	s.runFor(time.Minute)
	fault(s)
	pairNode := func(live []*simNode) *simNode { return live[s.random.IntN(2)] }
	picks := []func([]*simNode) *simNode{s.anyNode, firstNode, pairNode, s.anyNode}
	end := s.now.Add(length)
	for i, a := range s.accounts {
		s.offerLoad(a.Name, float64(a.Rate)*0.7, end, picks[i], never)
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
		{"quiet", 3 * time.Minute, maxWrongfulQuiet, func(*simulation) {}},
		{"one instance killed", 2 * time.Minute, maxWrongfulFaults, func(s *simulation) {
			s.after(20*time.Second, func() { s.kill(s.live()[3]) })
		}},
		{"one instance stopped", 2 * time.Minute, maxWrongfulFaults, func(s *simulation) {
			s.after(20*time.Second, func() { s.live()[3].deliver(StopRequested{}, 0) })
			s.after(25*time.Second, func() { s.broadcastLive(5 * time.Second) })
		}},
		{"store down for ten minutes", 10 * time.Minute, maxWrongfulFaults, func(s *simulation) { s.table.down = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := runFleet(1, c.length, c.fault)
			offered, wrong := 0, 0
			for _, a := range s.accounts {
				r := s.records[a.Name]
				offered += r.offered
				wrong += r.wronglyRefused
				t.Logf("%s: %d offered, %d refused, %.3f %% wrongfully", a.Name, r.offered, r.refused, 100*r.wrongfulShare())
				g.Expect(r.excess()).To(BeNumerically("<=", 0))
			}
			g.Expect(float64(wrong) / float64(offered)).To(BeNumerically("<", c.target))
			for name, r := range s.records {
				g.Expect(r.wrongfulShare()).To(BeNumerically("<", c.target), string(name))
			}
			t.Logf("%d messages, %d store writes", s.messages, s.swaps)
		})
	}
}

// The baseline divides each account's quota over the instances without lending.
func TestLendingBeatsStaticDivision(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	lending := runFleet(1, time.Minute, func(*simulation) {})
	divided := runFleet(1, time.Minute, func(s *simulation) { s.lendingDisabled = true })
	for _, a := range lending.accounts {
		l, d := lending.records[a.Name].wrongfulShare(), divided.records[a.Name].wrongfulShare()
		t.Logf("%s: %.3f %% wrongfully refused, %.3f %% with static division", a.Name, 100*l, 100*d)
		g.Expect(l).To(BeNumerically("<=", d))
	}
}

func TestSimulationIsRepeatable(t *testing.T) {
	g := NewWithT(t)
	a, b := allFaults().run(7, nil), allFaults().run(7, nil)
	g.Expect(a.messages).To(Equal(b.messages))
	g.Expect(a.swaps).To(Equal(b.swaps))
	for name, r := range a.records {
		g.Expect(r.admittedAt).To(Equal(b.records[name].admittedAt))
	}
}

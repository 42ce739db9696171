package quota

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// spender is an instance that requests operations from the quota owner.
type spender struct {
	name       ident.Instance
	allocation *Allocation
	isolated   bool
	waiting    int         // operations that wait for a reply
	repliesAt  []time.Time // when the replies to open requests arrive
	requested  []ident.Tokens
}

// simulate runs a load on several instances with one quota owner, some of them
// isolated from it, and returns when operations ran.
func simulate(seed uint64, q engine.Quota, overshoot Overshoot, instances int, perSecond float64, isolatedShare float64, span time.Duration) []time.Time {
	return simulateHandovers(seed, q, overshoot, instances, perSecond, isolatedShare, span, nil)
}

// simulateHandovers is like simulate, with a new quota owner at the given times
// after the start.
func simulateHandovers(
	seed uint64, q engine.Quota, overshoot Overshoot, instances int, perSecond float64, isolatedShare float64, span time.Duration, handovers []time.Duration,
) []time.Time {
	const step = 5 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 3))
	bucket := NewBucket(overshoot)
	all := make([]*spender, instances)
	for i := range all {
		all[i] = &spender{name: ident.Instance(strconv.Itoa(i)), allocation: &Allocation{}, isolated: float64(i) < isolatedShare*float64(instances)}
	}
	var ran []time.Time
	for now := time.Unix(1000, 0); now.Before(time.Unix(1000, 0).Add(span)); now = now.Add(step) {
		for len(handovers) > 0 && now.Sub(time.Unix(1000, 0)) >= handovers[0] {
			bucket, handovers = NewBucket(overshoot), handovers[1:]
		}
		for _, s := range all {
			s.receiveReplies(now, bucket, q)
			for waiting := s.waiting; waiting > 0 && len(s.repliesAt) == 0; waiting-- {
				s.waiting--
				if s.accept(now, q, instances, s.allocation.Resume(now)) {
					ran = append(ran, now)
				}
			}
			due := perSecond / float64(instances) * step.Seconds()
			for n := 0; float64(n) < due && random.Float64() < due-float64(n); n++ {
				if s.spend(now, q, instances) {
					ran = append(ran, now)
				}
			}
		}
	}
	return ran
}

func (s *spender) receiveReplies(now time.Time, b *Bucket, q engine.Quota) {
	for len(s.repliesAt) > 0 && !now.Before(s.repliesAt[0]) {
		count, retryIn := b.Grant(now, q, s.name, s.requested[0], 1)
		s.allocation.Receive(now, count, GrantLength, retryIn)
		s.repliesAt, s.requested = s.repliesAt[1:], s.requested[1:]
	}
}

func (s *spender) spend(now time.Time, q engine.Quota, instances int) bool {
	return s.accept(now, q, instances, s.allocation.Spend(now))
}

// accept carries out a decision and reports whether the operation runs.
func (s *spender) accept(now time.Time, q engine.Quota, instances int, d Decision) bool {
	if d.Request > 0 && !s.isolated {
		s.repliesAt, s.requested = append(s.repliesAt, now.Add(5*time.Millisecond)), append(s.requested, d.Request)
	}
	if d.Result == Wait && s.isolated {
		d = s.allocation.SpendFallback(now, q, instances)
	}
	if d.Result == Wait {
		s.waiting++
	}
	return d.Result == Spent
}

// maxInWindow returns the highest number of operations in any window.
func maxInWindow(ran []time.Time, window time.Duration) int {
	best, from := 0, 0
	for i := range ran {
		for ran[i].Sub(ran[from]) >= window {
			from++
		}
		best = max(best, i-from+1)
	}
	return best
}

// TestFloodStaysInBounds sends a multiple of an account's rate, with and
// without instances that are isolated from the quota owner.
func TestFloodStaysInBounds(t *testing.T) {
	overshoot := Overshoot{Fraction: 0.1, Operations: 20}
	for _, rate := range []float64{5, 23, 124, 400} {
		for _, isolated := range []float64{0, 0.25, 0.4} {
			for seed := range uint64(5) {
				q := engine.Quota{Rate: rate, Burst: rate}
				ran := simulate(seed, q, overshoot, 8, 8*rate, isolated, 20*time.Second)
				bound := (q.Rate*5+q.Burst)*(1+overshoot.Fraction) + overshoot.Operations
				if got := maxInWindow(ran, 5*time.Second); float64(got) > bound {
					t.Fatalf("seed %d, rate %g, isolated %g: %d operations in 5 s, allowed %g", seed, rate, isolated, got, bound)
				}
			}
		}
	}
}

// TestFloodStaysInBoundsAcrossOwners sends a multiple of an account's rate to a
// large fleet whose quota owners are replaced one after the other.
func TestFloodStaysInBoundsAcrossOwners(t *testing.T) {
	overshoot := Overshoot{Fraction: 0.1, Operations: 20}
	handovers := []time.Duration{6 * time.Second, 7 * time.Second, 8 * time.Second}
	for _, rate := range []float64{5, 23, 124, 214, 400} {
		for seed := range uint64(3) {
			q := engine.Quota{Rate: rate, Burst: rate}
			ran := simulateHandovers(seed, q, overshoot, 195, 3*rate, 0, 14*time.Second, handovers)
			bound := (q.Rate*5+q.Burst)*(1+overshoot.Fraction) + overshoot.Operations
			if got := maxInWindow(ran, 5*time.Second); float64(got) > bound {
				t.Errorf("seed %d, rate %g: %d operations in 5 s, allowed %g", seed, rate, got, bound)
			}
		}
	}
}

// TestAccountBelowRateIsServed checks that an account well below its rate is
// almost never denied, even with bursty arrivals.
func TestAccountBelowRateIsServed(t *testing.T) {
	g := NewWithT(t)
	q := engine.Quota{Rate: 100, Burst: 100}
	unlimited := engine.Quota{Rate: 1e6, Burst: 1e6}
	offered := float64(len(simulate(1, unlimited, Overshoot{}, 8, 60, 0, 20*time.Second)))
	ran := simulate(1, q, Overshoot{}, 8, 60, 0, 20*time.Second)
	g.Expect(float64(len(ran))).To(BeNumerically(">", 0.999*offered))
}

// A fleet of hundreds of instances serves an account below its rate. Each
// instance sees an operation every few seconds only, so what it requests ahead
// expires unused and must not use the quota up.
func TestSparseDemandIsServed(t *testing.T) {
	g := NewWithT(t)
	q := engine.Quota{Rate: 16, Burst: 16}
	unlimited := engine.Quota{Rate: 1e6, Burst: 1e6}
	offered := float64(len(simulate(1, unlimited, Overshoot{}, 195, 10, 0, 60*time.Second)))
	ran := simulate(1, q, Overshoot{}, 195, 10, 0, 60*time.Second)
	g.Expect(float64(len(ran))).To(BeNumerically(">", 0.999*offered))
}

func TestQuotaOwnerInMinorityGrantsLess(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	q := engine.Quota{Rate: 100, Burst: 100}
	whole, part := NewBucket(Overshoot{}), NewBucket(Overshoot{})
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		whole.Grant(now, q, "other", 0, 1)
		part.Grant(now, q, "other", 0, 0.2)
	}
	all, _ := whole.Grant(now, q, "other", 1000, 1)
	few, retryIn := part.Grant(now, q, "other", 1000, 0.2)
	g.Expect(all).To(Equal(ident.Tokens(100)))
	g.Expect(few).To(BeNumerically("<=", 20))
	g.Expect(retryIn).To(Equal(50 * time.Millisecond)) // the account is short
}

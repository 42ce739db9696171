package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// spender is an instance that asks a keeper for operations.
type spender struct {
	purse *Allocation
	cut   bool
	held  int         // operations that wait for an answer
	asks  []time.Time // when the answers to open questions arrive
	want  []ident.Tokens
}

// play lets instances spend under a load, with one keeper and some of them cut
// off, and returns when operations ran.
func play(seed uint64, q engine.Quota, room Overshoot, instances int, perSecond float64, cutShare float64, span time.Duration) []time.Time {
	const step = 5 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 3))
	ledger := NewBucket(room)
	all := make([]*spender, instances)
	for i := range all {
		all[i] = &spender{purse: &Allocation{}, cut: float64(i) < cutShare*float64(instances)}
	}
	var ran []time.Time
	for now := time.Unix(1000, 0); now.Before(time.Unix(1000, 0).Add(span)); now = now.Add(step) {
		for _, s := range all {
			s.answers(now, ledger, q)
			for held := s.held; held > 0 && len(s.asks) == 0; held-- {
				s.held--
				if s.spend(now, q, instances) {
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

func (s *spender) answers(now time.Time, l *Bucket, q engine.Quota) {
	for len(s.asks) > 0 && !now.Before(s.asks[0]) {
		count, retryIn := l.Grant(now, q, s.want[0], 1)
		s.purse.Receive(now, count, GrantLength, retryIn)
		s.asks, s.want = s.asks[1:], s.want[1:]
	}
}

func (s *spender) spend(now time.Time, q engine.Quota, instances int) bool {
	d := s.purse.Spend(now)
	if d.Request > 0 && !s.cut {
		s.asks, s.want = append(s.asks, now.Add(5*time.Millisecond)), append(s.want, d.Request)
	}
	if d.Result == Wait && s.cut {
		d = s.purse.SpendFallback(now, q, instances)
	}
	if d.Result == Wait {
		s.held++
	}
	return d.Result == Spent
}

// most returns the highest count in any window.
func most(ran []time.Time, window time.Duration) int {
	best, from := 0, 0
	for i := range ran {
		for ran[i].Sub(ran[from]) >= window {
			from++
		}
		best = max(best, i-from+1)
	}
	return best
}

// TestFloodStaysInBounds floods one account at many times its rate, also with
// some instances cut off from the keeper.
func TestFloodStaysInBounds(t *testing.T) {
	room := Overshoot{Fraction: 0.1, Operations: 20}
	for _, rate := range []float64{5, 23, 124, 400} {
		for _, cut := range []float64{0, 0.25, 0.4} {
			for seed := range uint64(5) {
				q := engine.Quota{Rate: rate, Burst: rate}
				ran := play(seed, q, room, 8, 8*rate, cut, 20*time.Second)
				bound := (q.Rate*5+q.Burst)*(1+room.Fraction) + room.Operations
				if got := most(ran, 5*time.Second); float64(got) > bound {
					t.Fatalf("seed %d, rate %g, cut %g: %d operations in 5 s, allowed %g", seed, rate, cut, got, bound)
				}
			}
		}
	}
}

// TestCalmAccountIsServed checks that an account which keeps well within its
// rate is hardly ever refused, however unevenly it comes.
func TestCalmAccountIsServed(t *testing.T) {
	g := NewWithT(t)
	q := engine.Quota{Rate: 100, Burst: 100}
	unlimited := engine.Quota{Rate: 1e6, Burst: 1e6}
	asked := float64(len(play(1, unlimited, Overshoot{}, 8, 60, 0, 20*time.Second)))
	ran := play(1, q, Overshoot{}, 8, 60, 0, 20*time.Second)
	g.Expect(float64(len(ran))).To(BeNumerically(">", 0.999*asked))
}

func TestKeeperOfAMinorityGrantsLess(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	q := engine.Quota{Rate: 100, Burst: 100}
	whole, part := NewBucket(Overshoot{}), NewBucket(Overshoot{})
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		whole.Grant(now, q, 0, 1)
		part.Grant(now, q, 0, 0.2)
	}
	all, _ := whole.Grant(now, q, 1000, 1)
	few, retryIn := part.Grant(now, q, 1000, 0.2)
	g.Expect(all).To(Equal(ident.Tokens(100)))
	g.Expect(few).To(BeNumerically("<=", 20))
	g.Expect(retryIn).To(BeZero())
}

package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/quota"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// limiterFleet connects the limiters of many instances by messages that take
// some milliseconds.
type limiterFleet struct {
	limiters map[ident.Instance]*limiter
	owner    ident.Instance
	other    map[ident.Instance]ident.Instance // owners in the view of single instances

	mu  sync.Mutex
	ran []time.Time
}

// limiterPeer is the view and the sender of one instance.
type limiterPeer struct {
	fleet *limiterFleet
	self  ident.Instance
}

func (p *limiterPeer) quotaOwnerOf(ident.Account) (ident.Instance, int, float64) {
	owner := p.fleet.owner
	if other, ok := p.fleet.other[p.self]; ok {
		owner = other
	}
	return owner, len(p.fleet.limiters), 1
}

// Offer implements Sender.
func (p *limiterPeer) Offer(to ident.Instance, m peer.Message) bool {
	time.AfterFunc(time.Millisecond+rand.N(4*time.Millisecond), func() {
		switch m := m.(type) {
		case peer.QuotaRequest:
			p.fleet.limiters[to].receiveRequest(p.self, m)
		case peer.QuotaGrant:
			p.fleet.limiters[to].receiveGrant(m)
		}
	})
	return true
}

func newLimiterFleet(instances int, q engine.Quota) *limiterFleet {
	f := &limiterFleet{limiters: make(map[ident.Instance]*limiter), owner: "n0"}
	for i := range instances {
		p := &limiterPeer{fleet: f, self: ident.Instance(fmt.Sprintf("n%d", i))}
		overshoot := quota.Overshoot{Fraction: 0.1, Operations: 20}
		l := newLimiter(p.self, p, overshoot, func(ident.Account) (engine.Quota, bool) { return q, true })
		l.sender = p
		f.limiters[p.self] = l
	}
	return f
}

// call spends one operation and retries it up to twice.
func (f *limiterFleet) call(ctx context.Context, n ident.Instance, q engine.Quota) {
	for range 3 {
		ok, retryIn := f.limiters[n].Spend("shop", q)
		if ok {
			f.mu.Lock()
			f.ran = append(f.ran, clock.Now())
			f.mu.Unlock()
			return
		}
		if retryIn > time.Second || !tasks.Pause(ctx, retryIn) {
			return
		}
	}
}

// offer sends calls at a multiple of the rate to random instances.
func (f *limiterFleet) offer(ctx context.Context, q engine.Quota, multiple float64, span time.Duration) error {
	group := tasks.New(ctx)
	for start := time.Now(); time.Since(start) < span; {
		n := ident.Instance(fmt.Sprintf("n%d", rand.IntN(len(f.limiters))))
		group.Go(func(ctx context.Context) error {
			f.call(ctx, n, q)
			return nil
		})
		time.Sleep(time.Duration(rand.ExpFloat64() / (q.Rate * multiple) * float64(time.Second)))
	}
	return group.Wait()
}

// most returns the most operations that ran in any window.
func (f *limiterFleet) most(window time.Duration) int {
	most, first := 0, 0
	for i, at := range f.ran {
		for at.Sub(f.ran[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestPartialPartitionHoldsQuota cuts an instance of a small fleet off from all but
// one other, which it takes for the quota owner, while that one reaches the owner.
// It guards against two instances that both grant the whole rate.
func TestPartialPartitionHoldsQuota(t *testing.T) {
	const window = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		defer clock.Replace(time.Now)()
		g := NewWithT(t)
		q := engine.Quota{Rate: 199, Burst: 199}
		f := newLimiterFleet(9, q)
		f.other = map[ident.Instance]ident.Instance{"n8": "n7"}
		g.Expect(f.offer(t.Context(), q, 6, 12*time.Second)).To(Succeed())
		g.Expect(float64(f.most(window))).To(BeNumerically("<=", (q.Rate*window.Seconds()+q.Burst)*1.1+20))
		synctest.Wait()
	})
}

// TestLimitersServeQuota runs the limiters of 70 instances whose account sends
// more than its quota. It guards against operations that are lost between the
// quota owner and the callers that wait at one instance at the same time.
func TestLimitersServeQuota(t *testing.T) {
	const span, window = 15 * time.Second, 5 * time.Second
	for _, offered := range []float64{1.3, 2, 8} {
		t.Run(fmt.Sprint(offered), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer clock.Replace(time.Now)()
				g := NewWithT(t)
				q := engine.Quota{Rate: 43, Burst: 43}
				f := newLimiterFleet(70, q)
				start := time.Now()
				g.Expect(f.offer(t.Context(), q, offered, span)).To(Succeed())
				served := 0
				for _, at := range f.ran {
					if since := at.Sub(start); since >= 2*time.Second && since < span {
						served++
					}
				}
				most := f.most(window)
				share := float64(served) / (q.Rate * (span - 2*time.Second).Seconds())
				t.Logf("served %.3f of the quota, at most %d in a window", share, most)
				g.Expect(share).To(BeNumerically(">=", 0.95))
				g.Expect(float64(most)).To(BeNumerically("<=", (q.Rate*window.Seconds()+q.Burst)*1.1+20))
				synctest.Wait()
			})
		})
	}
}

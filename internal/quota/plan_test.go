package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// emptied returns a bucket without tokens, of an account with 10 operations a
// second.
func emptied(now time.Time) (*Bucket, engine.Quota) {
	b, q := NewBucket(Overshoot{}), engine.Quota{Rate: 10, Burst: 10}
	b.Grant(now, q, "first", 1000, 1)
	return b, q
}

// TestRetryTimesAreKept guards against callers that are all told the same time,
// and against a token that another caller takes before the one it was promised
// to comes back.
func TestRetryTimesAreKept(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	b, q := emptied(now)
	var times []time.Duration
	for _, from := range []ident.Instance{"a", "b", "c"} {
		_, retryIn := b.Grant(now, q, from, 1, 1)
		times = append(times, retryIn)
	}
	g.Expect(times).To(Equal([]time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond}))
	count, _ := b.Grant(now.Add(100*time.Millisecond), q, "other", 1, 1)
	g.Expect(count).To(BeZero())
	count, retryIn := b.Grant(now.Add(110*time.Millisecond), q, "a", 1, 1)
	g.Expect(count).To(Equal(ident.Tokens(1)))
	g.Expect(retryIn).To(BeNumerically(">", 0)) // short
	count, _ = b.Grant(now.Add(200*time.Millisecond), q, "b", 1, 1)
	g.Expect(count).To(Equal(ident.Tokens(1)))
}

// TestUnusedPromiseGoesToTheNextCaller guards against tokens that are lost to an
// account when a caller does not come back.
func TestUnusedPromiseGoesToTheNextCaller(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	b, q := emptied(now)
	b.Grant(now, q, "a", 1, 1)
	b.Grant(now, q, "b", 1, 1)
	now = now.Add(100*time.Millisecond + promiseGrace + time.Millisecond)
	count, _ := b.Grant(now, q, "other", 1, 1)
	g.Expect(count).To(Equal(ident.Tokens(1)))
	count, _ = b.Grant(now.Add(39*time.Millisecond), q, "b", 1, 1)
	g.Expect(count).To(Equal(ident.Tokens(1)))
}

// TestPromisesAreBounded guards against promises that no caller waits for. Beyond
// a second, callers are spread over the following one.
func TestPromisesAreBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	b, q := emptied(now)
	seen := make(map[time.Duration]bool)
	for range 100 {
		_, retryIn := b.Grant(now, q, "a", 1, 1)
		g.Expect(seen).NotTo(HaveKey(retryIn))
		g.Expect(retryIn).To(BeNumerically("<", promiseHorizon+retrySpread))
		seen[retryIn] = true
	}
	g.Expect(b.plan.promises).To(HaveLen(10))
}

// TestLowerQuotaDiscardsPromises guards against promises at a rate that no longer
// holds.
func TestLowerQuotaDiscardsPromises(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	b, q := emptied(now)
	for range 5 {
		b.Grant(now, q, "a", 1, 1)
	}
	lower := engine.Quota{Rate: 2, Burst: 2}
	_, retryIn := b.Grant(now, lower, "b", 1, 1)
	g.Expect(retryIn).To(Equal(500 * time.Millisecond))
}

// TestShortAccountRequestsNothingAhead guards against grants that expire unused
// while callers are refused at other instances.
func TestShortAccountRequestsNothingAhead(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	a := &Allocation{}
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		d := a.Spend(now)
		g.Expect(d.Result).To(Equal(Wait))
		g.Expect(d.Request).To(BeNumerically(">=", 1))
		a.Receive(now, 1, GrantLength, time.Millisecond)
		d = a.Resume(now)
		g.Expect(d).To(Equal(Decision{Result: Spent}))
	}
	d := a.Spend(now)
	g.Expect(d.Request).To(Equal(ident.Tokens(1)))
	d = a.Spend(now)
	g.Expect(d.Request).To(Equal(ident.Tokens(1)), "each operation requests for itself")
}

// TestUnusedGrantIsRequestedSmaller guards against a grant that expires unused
// time after time.
func TestUnusedGrantIsRequestedSmaller(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	a := &Allocation{}
	for range 30 {
		a.countDemand(now)
	}
	d := a.Spend(now)
	g.Expect(d.Request).To(Equal(ident.Tokens(9)))
	a.Receive(now, d.Request, GrantLength, 0)
	a.Resume(now)
	now = now.Add(GrantLength + time.Millisecond)
	d = a.Spend(now)
	g.Expect(d.Request).To(Equal(ident.Tokens(1)))
}

// TestInstancesSpreadCallersDifferently guards against callers of all instances
// that retry at the same time after a restart of all.
func TestInstancesSpreadCallersDifferently(t *testing.T) {
	g := NewWithT(t)
	q := engine.Quota{Rate: 43, Burst: 43}
	seen := make(map[time.Duration]int)
	for i := range 70 {
		now := time.Unix(1000, int64(i)*1_234_567)
		_, retryIn := NewBucket(Overshoot{}).Grant(now, q, "self", 1, 0.01)
		seen[retryIn.Truncate(100*time.Millisecond)]++
	}
	for at, count := range seen {
		g.Expect(count).To(BeNumerically("<=", 20), at.String())
	}
	g.Expect(len(seen)).To(BeNumerically(">=", 8))
}

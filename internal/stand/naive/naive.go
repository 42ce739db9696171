// Package naive holds the simple policies that the product's are measured
// against: a static division of quotas, first come first served, reads at the
// primary.
package naive

import (
	"context"
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/acct"
	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/entry"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// lineLimit bounds how many requests wait for one endpoint.
const lineLimit = 512

// Policies returns the naive policies for one of several instances.
func Policies(accounts []envdoc.Account, instances int) entry.Policies {
	return entry.Policies{
		NewWaitQueue:   func() back.WaitQueue { return back.NewFIFO(lineLimit) },
		NewAdmitter:    func(gate acct.Admitter) acct.Admitter { return NewGate(gate, accounts, instances) },
		ReadsAtPrimary: true,
	}
}

// Gate divides each account's rate and burst evenly between the instances,
// whatever the callers do.
type Gate struct {
	acct.Admitter
	buckets map[ident.Account]*bucket
}

// NewGate returns a gate that asks inner about keys and routes.
func NewGate(inner acct.Admitter, accounts []envdoc.Account, instances int) *Gate {
	g := &Gate{Admitter: inner, buckets: make(map[ident.Account]*bucket)}
	for _, a := range accounts {
		g.buckets[a.Name] = newBucket(float64(a.Rate)/float64(instances), float64(a.Burst)/float64(instances))
	}
	return g
}

// Spend implements acct.Admitter.
func (g *Gate) Spend(badge *acct.Identity, now time.Time) error {
	b := g.buckets[badge.Account]
	if b == nil || b.spend(now) {
		return nil
	}
	return fault.Refuse(fault.OverLimit, time.Duration(float64(time.Second)/b.rate), "the instance's share of the rate is used up")
}

// SpendWait implements acct.Admitter. It does not wait.
func (g *Gate) SpendWait(_ context.Context, badge *acct.Identity, now time.Time) error {
	return g.Spend(badge, now)
}

// Refund implements acct.Admitter. A spent token stays spent.
func (g *Gate) Refund(*acct.Identity, time.Time) {}

// bucket is a token bucket.
type bucket struct {
	rate, burst float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newBucket(rate, burst float64) *bucket {
	burst = max(burst, 1)
	return &bucket{rate: rate, burst: burst, tokens: burst}
}

func (b *bucket) spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.rate*max(0, now.Sub(b.last).Seconds()))
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

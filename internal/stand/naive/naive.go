// Package naive holds the simple policies that serve as a baseline for the
// product's own: quotas divided statically, requests served first come, first
// served, and reads at the primary.
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

// queueLimit bounds the number of requests that wait for one endpoint.
const queueLimit = 512

// Policies returns the naive policies for one of several instances.
func Policies(accounts []envdoc.Account, instances int) entry.Policies {
	return entry.Policies{
		NewWaitQueue:   func() back.WaitQueue { return back.NewFIFO(queueLimit) },
		NewAdmitter:    func(inner acct.Admitter) acct.Admitter { return NewAdmitter(inner, accounts, instances) },
		ReadsAtPrimary: true,
	}
}

// Admitter divides each account's rate and burst evenly between the instances,
// regardless of where the callers connect.
type Admitter struct {
	acct.Admitter
	buckets map[ident.Account]*bucket
}

// NewAdmitter returns an admitter that delegates the checks of keys and routes
// to inner.
func NewAdmitter(inner acct.Admitter, accounts []envdoc.Account, instances int) *Admitter {
	out := &Admitter{Admitter: inner, buckets: make(map[ident.Account]*bucket)}
	for _, a := range accounts {
		out.buckets[a.Name] = newBucket(float64(a.Rate)/float64(instances), float64(a.Burst)/float64(instances))
	}
	return out
}

// Spend implements acct.Admitter.
func (a *Admitter) Spend(identity *acct.Identity, now time.Time) error {
	b := a.buckets[identity.Account]
	if b == nil || b.spend(now) {
		return nil
	}
	return fault.Refuse(fault.OverLimit, time.Duration(float64(time.Second)/b.rate), "the instance's share of the rate is used up")
}

// SpendWait implements acct.Admitter. It never waits.
func (a *Admitter) SpendWait(_ context.Context, identity *acct.Identity, now time.Time) error {
	return a.Spend(identity, now)
}

// Refund implements acct.Admitter. It does not return the token.
func (a *Admitter) Refund(*acct.Identity, time.Time) {}

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

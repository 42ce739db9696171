package relay

import (
	"sync"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/quota"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// grantTimeout is how long an operation waits for the keeper's answer: several
// round trips between data centres.
const grantTimeout = 60 * time.Millisecond

// againIn is when to come back after a keeper's answer that was used up at once.
const againIn = 20 * time.Millisecond

// keepers finds the instances that keep the accounts' quotas.
type keepers interface {
	// keeperOf returns the instance that keeps an account's quota, how many
	// instances exist, and which part of the rate a keeper here may grant.
	keeperOf(a ident.Account) (keeper ident.Instance, instances int, share float64)
}

// gate counts operations against quotas. It implements QuotaLimiter. Accounts
// do not wait for each other.
type gate struct {
	self     ident.Instance
	keepers  keepers
	link     Sender
	quotaOf  func(a ident.Account) (engine.Quota, bool)
	room     quota.Overshoot
	accounts *xsync.Map[ident.Account, *accountGate]
}

// accountGate is what the instance holds of one account.
type accountGate struct {
	mu      sync.Mutex
	purse   quota.Allocation
	ledger  *quota.Bucket
	waiting chan struct{} // closed when an answer comes
}

func newGate(self ident.Instance, k keepers, r quota.Overshoot, quotaOf func(ident.Account) (engine.Quota, bool)) *gate {
	return &gate{
		self: self, keepers: k, quotaOf: quotaOf, room: r,
		accounts: xsync.NewMap[ident.Account, *accountGate](),
	}
}

// of returns the account's part.
func (g *gate) of(a ident.Account) *accountGate {
	if part, ok := g.accounts.Load(a); ok {
		return part
	}
	part, _ := g.accounts.LoadOrStore(a, &accountGate{ledger: quota.NewBucket(g.room)})
	return part
}

// Spend implements QuotaLimiter.
func (g *gate) Spend(a ident.Account, q engine.Quota) (ok bool, retryIn time.Duration) {
	keeper, instances, share := g.keepers.keeperOf(a)
	if keeper == g.self {
		return g.spendOwn(a, q, share)
	}
	d, answered := g.spendGranted(keeper, a)
	heard := true
	if d.Result == quota.Wait {
		heard = await(answered)
		d, _ = g.spendGranted(keeper, a)
	}
	if d.Result == quota.Wait && heard {
		return false, againIn // the keeper has nothing to grant
	}
	if d.Result == quota.Wait {
		part := g.of(a)
		part.mu.Lock()
		d = part.purse.SpendFallback(clock.Now(), q, instances)
		part.mu.Unlock()
	}
	return d.Result == quota.Spent, d.RetryIn
}

// Refund implements QuotaLimiter.
func (g *gate) Refund(a ident.Account) {
	keeper, _, _ := g.keepers.keeperOf(a)
	part := g.of(a)
	part.mu.Lock()
	defer part.mu.Unlock()
	if keeper == g.self {
		part.ledger.Refund()
		return
	}
	part.purse.Refund(clock.Now())
}

// await waits for the keeper's answer, for a bounded time. It reports whether
// the answer came.
func await(answered <-chan struct{}) bool {
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	select {
	case <-answered:
		return true
	case <-timer.C:
		return false
	}
}

// spendOwn takes an operation from the ledger that is kept here.
func (g *gate) spendOwn(a ident.Account, q engine.Quota, share float64) (bool, time.Duration) {
	part := g.of(a)
	part.mu.Lock()
	defer part.mu.Unlock()
	count, retryIn := part.ledger.Grant(clock.Now(), q, 1, share)
	return count == 1, retryIn
}

// spendGranted takes an operation from the purse and asks the keeper for more
// if need be.
func (g *gate) spendGranted(keeper ident.Instance, a ident.Account) (quota.Decision, <-chan struct{}) {
	part := g.of(a)
	part.mu.Lock()
	d := part.purse.Spend(clock.Now())
	if part.waiting == nil {
		part.waiting = make(chan struct{})
	}
	answered := part.waiting
	part.mu.Unlock()
	if d.Request > 0 {
		g.link.Offer(keeper, peer.QuotaRequest{Account: a, Count: d.Request})
	}
	return d, answered
}

// receiveAsk grants operations to another instance.
func (g *gate) receiveAsk(from ident.Instance, m peer.QuotaRequest) {
	q, ok := g.quotaOf(m.Account)
	if !ok {
		return
	}
	_, _, share := g.keepers.keeperOf(m.Account)
	part := g.of(m.Account)
	part.mu.Lock()
	count, retryIn := part.ledger.Grant(clock.Now(), q, m.Count, share)
	part.mu.Unlock()
	g.link.Offer(from, peer.QuotaGrant{Account: m.Account, Count: count, Length: quota.GrantLength, RetryIn: retryIn})
}

// receiveGrant takes a keeper's answer.
func (g *gate) receiveGrant(m peer.QuotaGrant) {
	part := g.of(m.Account)
	part.mu.Lock()
	defer part.mu.Unlock()
	part.purse.Receive(clock.Now(), m.Count, m.Length, m.RetryIn)
	if part.waiting != nil {
		close(part.waiting)
		part.waiting = nil
	}
}

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

// grantTimeout is how long an operation waits for the quota owner's reply:
// several round trips between data centres.
const grantTimeout = 60 * time.Millisecond

// maxGrantWait limits how long an operation waits while replies arrive. Other
// operations of the account that arrived earlier use up the first ones.
const maxGrantWait = 4 * grantTimeout

// formerOwnerShare is the fraction of a rate that an instance grants while it
// takes another one for the account's quota owner. The requester learns of the
// other one within seconds, or can't reach it for as long as a partition lasts.
// Until then both grant.
const formerOwnerShare = 0.125

// emptyRetry is the retry delay after a grant that was used up immediately.
const emptyRetry = 20 * time.Millisecond

// quotaOwners locates the owners of the accounts' quotas.
type quotaOwners interface {
	// quotaOwnerOf returns the instance that holds an account's bucket, the
	// number of instances, and the fraction of the rate that a quota owner on
	// this instance may grant.
	quotaOwnerOf(a ident.Account) (owner ident.Instance, instances int, share float64)
}

// limiter counts operations against quotas. It implements QuotaLimiter.
// Accounts don't block each other.
type limiter struct {
	self      ident.Instance
	owners    quotaOwners
	sender    Sender
	quotaOf   func(a ident.Account) (engine.Quota, bool)
	overshoot quota.Overshoot
	accounts  *xsync.Map[ident.Account, *accountQuota]
}

// accountQuota is the quota state of one account on this instance.
type accountQuota struct {
	mu         sync.Mutex
	allocation quota.Allocation
	bucket     *quota.Bucket
	replied    chan struct{} // closed when a reply arrives
}

func newLimiter(self ident.Instance, owners quotaOwners, overshoot quota.Overshoot, quotaOf func(ident.Account) (engine.Quota, bool)) *limiter {
	return &limiter{
		self: self, owners: owners, quotaOf: quotaOf, overshoot: overshoot,
		accounts: xsync.NewMap[ident.Account, *accountQuota](),
	}
}

// account returns the state of an account.
func (l *limiter) account(a ident.Account) *accountQuota {
	if account, ok := l.accounts.Load(a); ok {
		return account
	}
	account, _ := l.accounts.LoadOrStore(a, &accountQuota{bucket: quota.NewBucket(l.overshoot)})
	return account
}

// Spend implements QuotaLimiter.
func (l *limiter) Spend(a ident.Account, q engine.Quota) (ok bool, retryIn time.Duration) {
	owner, instances, share := l.owners.quotaOwnerOf(a)
	if owner == l.self {
		return l.spendAtOwner(a, q, share)
	}
	d, reply := l.spendAllocation(owner, a, (*quota.Allocation).Spend)
	replied := true
	for end := clock.Now().Add(maxGrantWait); d.Result == quota.Wait && replied && clock.Now().Before(end); {
		replied = awaitReply(reply)
		d, reply = l.spendAllocation(owner, a, (*quota.Allocation).Resume)
	}
	if d.Result == quota.Wait && replied {
		return false, emptyRetry // the owner has nothing to grant
	}
	if d.Result == quota.Wait {
		account := l.account(a)
		account.mu.Lock()
		d = account.allocation.SpendFallback(clock.Now(), q, instances)
		account.mu.Unlock()
	}
	return d.Result == quota.Spent, d.RetryIn
}

// Refund implements QuotaLimiter.
func (l *limiter) Refund(a ident.Account) {
	owner, _, _ := l.owners.quotaOwnerOf(a)
	account := l.account(a)
	account.mu.Lock()
	defer account.mu.Unlock()
	if owner == l.self {
		account.bucket.Refund()
		return
	}
	account.allocation.Refund(clock.Now())
}

// awaitReply waits up to grantTimeout for the quota owner's reply. It reports
// whether the reply arrived.
func awaitReply(reply <-chan struct{}) bool {
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	select {
	case <-reply:
		return true
	case <-timer.C:
		return false
	}
}

// spendAtOwner takes an operation from the bucket of this instance.
func (l *limiter) spendAtOwner(a ident.Account, q engine.Quota, share float64) (bool, time.Duration) {
	account := l.account(a)
	account.mu.Lock()
	defer account.mu.Unlock()
	count, retryIn := account.bucket.Grant(clock.Now(), q, l.self, 1, share)
	return count == 1, retryIn
}

// spendAllocation takes an operation from the allocation by Spend or Resume and
// requests more from the quota owner if necessary.
func (l *limiter) spendAllocation(
	owner ident.Instance, a ident.Account, take func(*quota.Allocation, time.Time) quota.Decision,
) (quota.Decision, <-chan struct{}) {
	account := l.account(a)
	account.mu.Lock()
	d := take(&account.allocation, clock.Now())
	if account.replied == nil {
		account.replied = make(chan struct{})
	}
	reply := account.replied
	account.mu.Unlock()
	if d.Request > 0 {
		l.sender.Offer(owner, peer.QuotaRequest{Account: a, Count: d.Request})
	}
	return d, reply
}

// receiveRequest grants operations to another instance.
func (l *limiter) receiveRequest(from ident.Instance, m peer.QuotaRequest) {
	q, ok := l.quotaOf(m.Account)
	if !ok {
		return
	}
	owner, _, share := l.owners.quotaOwnerOf(m.Account)
	if owner != l.self {
		share *= formerOwnerShare
	}
	account := l.account(m.Account)
	account.mu.Lock()
	count, retryIn := account.bucket.Grant(clock.Now(), q, from, m.Count, share)
	account.mu.Unlock()
	l.sender.Offer(from, peer.QuotaGrant{Account: m.Account, Count: count, Length: quota.GrantLength, RetryIn: retryIn})
}

// receiveGrant applies the quota owner's reply.
func (l *limiter) receiveGrant(m peer.QuotaGrant) {
	account := l.account(m.Account)
	account.mu.Lock()
	defer account.mu.Unlock()
	account.allocation.Receive(clock.Now(), m.Count, m.Length, m.RetryIn)
	if account.replied != nil {
		close(account.replied)
		account.replied = nil
	}
}

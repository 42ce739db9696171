package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/quota"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// TestOwnerKeepsRetryTimes guards against callers at the quota owner that take
// the tokens which it promised to another instance.
func TestOwnerKeepsRetryTimes(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	defer clock.Replace(func() time.Time { return now })()
	q := engine.Quota{Rate: 10, Burst: 10}
	sender := &grantSender{}
	l := newLimiter("self", &fleetOwner{owner: "self"}, quota.Overshoot{}, func(ident.Account) (engine.Quota, bool) { return q, true })
	l.sender = sender
	for ok := true; ok; {
		ok, _ = l.Spend("shop", q)
	}
	l.receiveRequest("other", peer.QuotaRequest{Account: "shop", Count: 1})
	g.Expect(sender.last.Count).To(BeZero())
	now = now.Add(sender.last.RetryIn)
	ok, _ := l.Spend("shop", q) // the one that was refused here first
	g.Expect(ok).To(BeTrue())
	ok, retryIn := l.Spend("shop", q)
	g.Expect(ok).To(BeFalse())
	g.Expect(retryIn).To(BeNumerically(">", 0))
	l.receiveRequest("other", peer.QuotaRequest{Account: "shop", Count: 1})
	g.Expect(sender.last.Count).To(Equal(ident.Tokens(1)))
	g.Expect(sender.last.RetryIn).To(BeNumerically(">", 0), "the account is short")
}

// grantSender keeps the latest grant.
type grantSender struct{ last peer.QuotaGrant }

// Offer implements Sender.
func (s *grantSender) Offer(_ ident.Instance, m peer.Message) bool {
	s.last = m.(peer.QuotaGrant)
	return true
}

package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/quota"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// denyingOwner is a quota owner that denies every request immediately.
type denyingOwner struct{ limiter *limiter }

func (o *denyingOwner) quotaOwnerOf(ident.Account) (ident.Instance, int, float64) {
	return "other", 8, 1
}

// Offer implements Sender.
func (o *denyingOwner) Offer(_ ident.Instance, m peer.Message) bool {
	if request, ok := m.(peer.QuotaRequest); ok {
		o.limiter.receiveGrant(peer.QuotaGrant{Account: request.Account, Length: quota.GrantLength, RetryIn: time.Nanosecond})
	}
	return true
}

// TestDenialIsNotAnAbsentOwner sends operations of an account whose quota owner
// denies every request. No operation may be spent from the fallback share,
// which is reserved for an owner that does not answer.
func TestDenialIsNotAnAbsentOwner(t *testing.T) {
	g := NewWithT(t)
	o := &denyingOwner{}
	o.limiter = newLimiter("self", o, quota.Overshoot{}, nil)
	o.limiter.sender = o
	spent := 0
	for range 200 {
		if ok, retryIn := o.limiter.Spend("shop", engine.Quota{Rate: 100, Burst: 100}); ok {
			spent++
		} else {
			g.Expect(retryIn).To(BeNumerically(">", 0))
		}
	}
	g.Expect(spent).To(BeZero())
}

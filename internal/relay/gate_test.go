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

// emptyKeeper answers each question at once with nothing to grant.
type emptyKeeper struct{ gate *gate }

func (k *emptyKeeper) keeperOf(ident.Account) (ident.Instance, int, float64) { return "other", 8, 1 }

// Offer implements Sender.
func (k *emptyKeeper) Offer(_ ident.Instance, m peer.Message) bool {
	if ask, ok := m.(peer.QuotaRequest); ok {
		k.gate.receiveGrant(peer.QuotaGrant{Account: ask.Account, Length: quota.GrantLength, RetryIn: time.Nanosecond})
	}
	return true
}

// TestAnEmptyKeeperIsNoAbsentKeeper floods an account whose keeper answers that
// nothing is left: nothing may be spent from the share for an absent keeper.
func TestAnEmptyKeeperIsNoAbsentKeeper(t *testing.T) {
	g := NewWithT(t)
	k := &emptyKeeper{}
	k.gate = newGate("self", k, quota.Overshoot{}, nil)
	k.gate.link = k
	spent := 0
	for range 200 {
		if ok, retryIn := k.gate.Spend("shop", engine.Quota{Rate: 100, Burst: 100}); ok {
			spent++
		} else {
			g.Expect(retryIn).To(BeNumerically(">", 0))
		}
	}
	g.Expect(spent).To(BeZero())
}

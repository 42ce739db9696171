package peer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestPingRateIsBounded checks when a ping is due: soon while a reply is
// outstanding, otherwise less often the more peers there are.
func TestPingRateIsBounded(t *testing.T) {
	g := NewWithT(t)
	peerCount := 8
	l := &link{options: &options{pingInterval: 200 * time.Millisecond}, peerCount: func() int { return peerCount }}
	l.lastReceived.Store(int64(time.Second))
	dueAfter := func(d time.Duration) bool { return l.pingDue(time.Second + d) }

	g.Expect(dueAfter(190 * time.Millisecond)).To(BeFalse())
	g.Expect(dueAfter(200*time.Millisecond)).To(BeTrue(), "few peers")

	peerCount = 100
	g.Expect(dueAfter(time.Second)).To(BeFalse())
	g.Expect(dueAfter(1600 * time.Millisecond)).To(BeTrue())

	l.lastRequest.Store(int64(time.Second + 10*time.Millisecond))
	g.Expect(dueAfter(200*time.Millisecond)).To(BeTrue(), "a reply is outstanding")
}

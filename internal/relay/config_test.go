package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
)

// An instance whose peers told it of a version and did not send it went on to rely on
// them, with and without evacuations.
func TestUnservedInstanceReadsTheStore(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	defer clock.Replace(func() time.Time { return now })()
	n, _ := evacuatingNode(t)
	connectFollowers(n)
	h := peer.Heartbeat{Version: 7, Evacuations: 3}
	hearFollowers(n, h)
	g.Expect(n.OperatorNeed()).To(Equal(RelyOnPeers))
	now = now.Add(defaultConfigTime / 2)
	hearFollowers(n, h)
	g.Expect(n.StoreNeed()).To(Equal(RelyOnPeers))
	g.Expect(n.OperatorNeed()).To(Equal(FollowLoosely))
}

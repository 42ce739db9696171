package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// An instance starts just after a data centre has returned and becomes the owner
// of a group. It must not send its endpoints more than cold ones may get.
func TestNewInstanceLearnsOfReturns(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	defer clock.Replace(func() time.Time { return now })()
	coldTime := func(n *Node) {
		c := &engine.Catalog{Version: 9, Groups: map[ident.Group]engine.GroupLimits{"orders": {Group: "orders", ColdRate: 5, ColdTime: 3 * time.Second}}}
		c.BuildKeyIndex()
		n.catalog.Store(c)
	}
	coldLeft := func(rn *groupRunner) time.Duration {
		rn.mu.Lock()
		defer rn.mu.Unlock()
		return rn.endpoints["b"].ColdLeft
	}
	old, own := evacuatingNode(t)
	coldTime(old)
	old.SetEvacuations(read(5, 5, "z2"), "test")
	old.SetEvacuations(read(6, 6), "test")
	g.Expect(coldLeft(own)).To(BeZero(), "its scheduler saw the evacuation end")
	now = now.Add(time.Second)
	h := old.fullHeartbeat()
	g.Expect(h.Returned).To(Equal([]peer.DataCentreReturn{{DataCentre: "z2", Age: time.Second}}))
	g.Expect(heartbeat(old).Returned).To(BeEmpty(), "only the first heartbeat on a link has it")

	fresh, r := evacuatingNode(t)
	coldTime(fresh)
	fresh.SetEvacuations(read(6, 6), "test")
	fresh.receiveHeartbeat("old", h)
	g.Expect(coldLeft(r)).To(Equal(2 * time.Second))
	g.Expect(fresh.fullHeartbeat().Returned).To(HaveLen(1), "an instance that connects later is told as well")
	now = now.Add(maxReturnAge)
	g.Expect(fresh.fullHeartbeat().Returned).To(BeEmpty())
}

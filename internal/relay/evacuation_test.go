package relay

import (
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/evac"
	"github.com/marjoramrudder/marjoramrudder/internal/fetch"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/roster"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// evacuatingNode returns a node without peers that acts on evacuations, with a
// group that has an endpoint in each of two data centres.
func evacuatingNode(t *testing.T) (*Node, *groupRunner) {
	n := isolatedNode(t)
	n.config.EvacuationTime = time.Second
	n.evacuations.enabled = true
	n.config.Decode = func(text []byte) (*engine.Catalog, error) {
		c := &engine.Catalog{Version: ident.Version(len(text)), Groups: map[ident.Group]engine.GroupLimits{"orders": {Group: "orders"}}}
		c.BuildKeyIndex()
		return c, nil
	}
	n.SetConfig([]byte("one"), "test")
	n.SetDirectory(1, []sched.DirectoryEntry{
		{Group: "orders", Endpoint: sched.Endpoint{ID: "a", DataCentre: "z1"}},
		{Group: "orders", Endpoint: sched.Endpoint{ID: "b", DataCentre: "z2"}},
	}, "test")
	return n, n.runner("orders")
}

// evacuated returns which endpoints a runner knows, and whether they are
// evacuated.
func (rn *groupRunner) evacuated() map[ident.Endpoint]bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	out := make(map[ident.Endpoint]bool)
	for id, e := range rn.endpoints {
		out[id] = e.Evacuated
	}
	return out
}

// read returns an answer of the store.
func read(revision, version ident.Revision, dataCentres ...ident.DataCentre) Evacuations {
	return Evacuations{Revision: revision, Read: version, DataCentres: dataCentres}
}

// told returns a set of another instance.
func told(revision ident.Revision, dataCentres ...ident.DataCentre) Evacuations {
	return Evacuations{Revision: revision, DataCentres: dataCentres}
}

// A newer set and a newer directory arrive in any order. Both have to be in force
// afterwards.
func TestEvacuationsMarkEndpoints(t *testing.T) {
	g := NewWithT(t)
	n, r := evacuatingNode(t)
	n.SetEvacuations(read(5, 5, "z2", "z9"), "test")
	g.Expect(r.evacuated()).To(Equal(map[ident.Endpoint]bool{"a": false, "b": true}))
	n.SetDirectory(2, []sched.DirectoryEntry{
		{Group: "orders", Endpoint: sched.Endpoint{ID: "a", DataCentre: "z1"}},
		{Group: "orders", Endpoint: sched.Endpoint{ID: "b", DataCentre: "z2"}},
		{Group: "orders", Endpoint: sched.Endpoint{ID: "c", DataCentre: "z2"}},
	}, "test")
	g.Expect(r.evacuated()).To(Equal(map[ident.Endpoint]bool{"a": false, "b": true, "c": true}))
	n.SetEvacuations(read(6, 6, "z1"), "test")
	g.Expect(r.evacuated()).To(Equal(map[ident.Endpoint]bool{"a": true, "b": false, "c": false}))
	n.SetConfig([]byte("longer"), "test")
	g.Expect(r.evacuated()).To(Equal(map[ident.Endpoint]bool{"a": true, "b": false, "c": false}))
	n.SetEvacuations(read(7, 7), "test")
	g.Expect(r.evacuated()).To(Equal(map[ident.Endpoint]bool{"a": false, "b": false, "c": false}))
}

// An endpoint that was evacuated before this instance started must get nothing,
// so no endpoint is used and the instance is not ready before it knows the set.
func TestNoEndpointBeforeEvacuationsAreKnown(t *testing.T) {
	g := NewWithT(t)
	n, r := evacuatingNode(t)
	g.Expect(n.Ready()).To(BeFalse())
	g.Expect(r.evacuated()).To(BeEmpty())
	n.SetEvacuations(told(4, "z1"), "peer")
	g.Expect(n.Ready()).To(BeTrue())
	g.Expect(r.evacuated()).To(Equal(map[ident.Endpoint]bool{"a": true, "b": false}))
}

// The store and the peers do not tell the set. The instance must not stay out of
// service for ever, and applies the set when it arrives late.
func TestInstanceProceedsWithoutEvacuations(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	defer clock.Replace(func() time.Time { return now })()
	n, r := evacuatingNode(t)
	n.proceedWithoutEvacuations(now)
	n.proceedWithoutEvacuations(now.Add(evacuationsWait - 1))
	g.Expect(n.Ready()).To(BeFalse())
	n.proceedWithoutEvacuations(now.Add(evacuationsWait))
	g.Expect(n.Ready()).To(BeTrue())
	g.Expect(r.evacuated()).To(Equal(map[ident.Endpoint]bool{"a": false, "b": false}))
	n.SetEvacuations(told(4, "z1"), "peer")
	g.Expect(r.evacuated()).To(Equal(map[ident.Endpoint]bool{"a": true, "b": false}))
}

// Where the settings have no time limit, an instance must behave as before: it
// is ready without a set, marks nothing and announces nothing.
func TestEvacuationsAreIgnoredWithoutLimit(t *testing.T) {
	g := NewWithT(t)
	n, _ := evacuatingNode(t)
	n.evacuations.enabled = false
	n.SetEvacuations(read(5, 5, "z1"), "test")
	n.receiveHeartbeat("other", peer.Heartbeat{Evacuations: 9})
	g.Expect(n.Ready()).To(BeTrue())
	g.Expect(n.Evacuated()).To(BeEmpty())
	g.Expect(heartbeat(n).Evacuations).To(BeZero())
	_, due := n.evacuations.fetch.Due(time.Now().Add(time.Hour))
	g.Expect(due).To(BeFalse())
}

// Sets arrive from the store and from peers in any order. The newest wins.
func TestNewestEvacuationsWin(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		sets     []Evacuations
		want     []ident.DataCentre
		revision ident.Revision
	}{
		"older peer":  {[]Evacuations{read(5, 5, "z1"), told(4, "z2")}, []ident.DataCentre{"z1"}, 5},
		"newer peer":  {[]Evacuations{read(5, 5, "z1"), told(6, "z2")}, []ident.DataCentre{"z2"}, 6},
		"late answer": {[]Evacuations{told(8, "z1"), read(5, 7)}, []ident.DataCentre{"z1"}, 8},
		// The store told this instance at version 9 that there is no request. A
		// peer that was cut off must not restore one from before.
		"peer that was cut off": {[]Evacuations{read(5, 9), told(7, "z2")}, nil, 5},
		// The store is available again after a peer brought an outdated set.
		"store corrects peer": {[]Evacuations{told(7, "z2"), read(5, 9)}, nil, 9},
		"same set":            {[]Evacuations{read(5, 5, "z1"), read(9, 9, "z1")}, []ident.DataCentre{"z1"}, 9},
		"set from before a removal, out of order": {[]Evacuations{read(9, 9), read(5, 6, "z1")}, nil, 9},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := evacuationList{enabled: true, returns: make(returns)}
			for _, e := range c.sets {
				l.replace(now, e)
			}
			g.Expect(l.dataCentres).To(HaveExactElements(c.want))
			g.Expect(l.revision).To(Equal(c.revision))
		})
	}
}

// A set that is refused because the store has said otherwise must not be
// requested again and again.
func TestRefusedEvacuationsAreNotRequestedAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	l := evacuationList{enabled: true, returns: make(returns)}
	l.replace(now, read(5, 9))
	l.observe(now, fetch.Source{Instance: "other"}, peer.Heartbeat{Evacuations: 7})
	now = now.Add(time.Minute)
	_, due := l.fetch.Due(now)
	g.Expect(due).To(BeTrue())
	l.replace(now, told(7, "z2"))
	l.observe(now, fetch.Source{Instance: "other"}, peer.Heartbeat{Evacuations: 7})
	_, due = l.fetch.Due(now.Add(time.Minute))
	g.Expect(due).To(BeFalse())
}

// followers is a number of instances of which not all follow the store.
const followers = 25

// connectFollowers links a node to instances that follow the store.
func connectFollowers(n *Node) {
	n.SetMembers(1, members(followers), "test")
	n.mu.Lock()
	for _, m := range members(followers) {
		n.roster.SetConnected(m.Instance, true, false)
	}
	n.mu.Unlock()
	n.assignGroups()
}

// hearFollowers delivers a heartbeat of each instance that follows the store.
func hearFollowers(n *Node, h peer.Heartbeat) {
	h.Store = uint8(roster.Following)
	for _, m := range members(followers) {
		n.receiveHeartbeat(m.Instance, h)
	}
}

// During a rolling update the instances that follow the store may be of an older
// version, which does not know evacuations. An instance that relies on them for
// the rest must follow the operator's table itself.
func TestOldFollowersAreNotReliedOn(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	defer clock.Replace(func() time.Time { return now })()
	n, _ := evacuatingNode(t)
	connectFollowers(n)
	hear := func(evacuations ident.Revision) { hearFollowers(n, peer.Heartbeat{Evacuations: evacuations}) }
	hear(0)
	g.Expect(n.StoreNeed()).To(Equal(RelyOnPeers))
	g.Expect(n.OperatorNeed()).To(Equal(FollowLoosely))
	hear(3)
	g.Expect(n.OperatorNeed()).To(Equal(RelyOnPeers))
	now = now.Add(evacuationSourceTimeout)
	hear(0)
	g.Expect(n.OperatorNeed()).To(Equal(FollowLoosely))
}

// An instance asks for a set that is newer than its own, and answers such a
// request from others.
func TestHeartbeatsCarryEvacuationRevision(t *testing.T) {
	g := NewWithT(t)
	n, _ := evacuatingNode(t)
	n.SetEvacuations(read(5, 5, "z2"), "test")
	g.Expect(heartbeat(n).Evacuations).To(Equal(ident.Revision(5)))
	n.receiveEvacuations("other", peer.EvacuationList{Revision: 6, DataCentres: []ident.DataCentre{"z1"}})
	g.Expect(n.Evacuated()).To(HaveExactElements(ident.DataCentre("z1")))
	n.receiveEvacuations("other", peer.EvacuationList{})
	g.Expect(n.Evacuated()).To(HaveLen(1))
}

// The states that the metrics show follow the requests.
func TestDataCentreStates(t *testing.T) {
	g := NewWithT(t)
	n, r := evacuatingNode(t)
	now := time.Unix(1000, 0)
	n.SetEvacuations(read(5, 5), "test")
	r.pool.mu.Lock()
	r.pool.conns[1] = newEndpointConn(1, "b", nil)
	r.pool.mu.Unlock()
	n.SetEvacuations(read(6, 6, "z2"), "test")
	n.trackDataCentres(now)
	g.Expect(n.dataCentres.State("z2")).To(Equal(evac.Leaving), "a statement may still be running")
	r.pool.mu.Lock()
	delete(r.pool.conns, 1)
	r.pool.mu.Unlock()
	n.trackDataCentres(now)
	g.Expect(n.dataCentres.State("z2")).To(Equal(evac.Evacuated))
	g.Expect(n.dataCentres.State("z1")).To(Equal(evac.InService))
	var text strings.Builder
	metrics.WritePrometheus(&text, false)
	g.Expect(text.String()).To(ContainSubstring(`marjoram_data_centre_state{data_centre="z2",state="Evacuated"} 1`))
	g.Expect(text.String()).To(ContainSubstring(`marjoram_data_centre_state{data_centre="z2",state="Leaving"} 0`))
}

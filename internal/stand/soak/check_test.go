package soak

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/load"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

var zero = time.Unix(0, 0)

func second(s float64) time.Time { return zero.Add(time.Duration(s * float64(time.Second))) }

func TestWorstWindow(t *testing.T) {
	g := NewWithT(t)
	at := func(sent, answered float64) interval { return interval{second(sent), second(answered)} }
	burst := []interval{at(0, 0.1), at(0, 0.1), at(0, 0.1)}
	w := worstWindow(burst, 10, 2)
	g.Expect(w.Exceeded()).To(BeFalse(), "3 requests in 0.1 s at rate 10 and burst 2")
	w = worstWindow(append(burst, at(0, 0.1)), 10, 2)
	g.Expect(w.Exceeded()).To(BeTrue())
	g.Expect(w.Admitted).To(Equal(4))
	w = worstWindow([]interval{at(0, 5), at(0, 5), at(0, 5), at(4.9, 5)}, 1, 1)
	g.Expect(w.Exceeded()).To(BeFalse(), "slow answers may have been admitted early")
	w = worstWindow([]interval{at(0, 0.1), at(50, 50.1), at(50, 50.1), at(50, 50.1)}, 1, 1)
	g.Expect(w.Exceeded()).To(BeTrue(), "an idle time before does not hide a burst")
	g.Expect(w.From).To(Equal(second(50)))
}

func TestRolloutCheckReportsLateAndLowerVersions(t *testing.T) {
	g := NewWithT(t)
	c := newRolloutCheck()
	g.Expect(c.poll("a", 1, 3, second(0))).To(BeEmpty())
	c.accept(4, second(1))
	g.Expect(c.poll("a", 1, 3, second(9.9))).To(BeEmpty())
	g.Expect(c.poll("a", 1, 3, second(10.1))).To(HaveLen(1))
	g.Expect(c.poll("a", 1, 3, second(10.3))).To(BeEmpty(), "reported once")
	g.Expect(c.poll("a", 1, 4, second(11))).To(BeEmpty())
	g.Expect(c.poll("a", 1, 3, second(12))).NotTo(BeEmpty(), "version reverted")
	g.Expect(c.poll("a", 2, 0, second(13))).To(BeEmpty(), "a new process")
}

func TestRolloutCheckExcusesUnreachableProxies(t *testing.T) {
	g := NewWithT(t)
	c := newRolloutCheck()
	c.poll("a", 1, 3, second(0))
	c.accept(4, second(1))
	c.setStoreDown(true)
	g.Expect(c.poll("a", 1, 3, second(10.5))).To(BeEmpty(), "no store and no peer")
	c.poll("b", 1, 4, second(11))
	g.Expect(c.poll("a", 1, 3, second(19))).To(BeEmpty())
	g.Expect(c.poll("a", 1, 3, second(20))).To(HaveLen(1), "a peer had the version")
	c.disturb("a", second(21))
	c.accept(5, second(21))
	g.Expect(c.poll("a", 1, 4, second(25))).To(BeEmpty())
}

func TestHistoryCheckReportsDuplicateLostAndForeignChanges(t *testing.T) {
	g := NewWithT(t)
	document := func(shop, chain ident.Tokens) *envdoc.Document {
		return &envdoc.Document{Accounts: []envdoc.Account{{Name: "shop", Rate: shop}, {Name: "chain", Rate: chain}}}
	}
	heads := []store.Head{
		{Version: 2, Change: "b", Author: authorOf("shop")},
		{Version: 1, Change: "a", Author: "first"},
	}
	documents := map[ident.Version]*envdoc.Document{1: document(1, 1), 2: document(2, 1)}
	g.Expect(checkHistory(heads, heads, documents)).To(BeEmpty())
	g.Expect(checkHistory(heads, []store.Head{{Version: 2, Change: "c"}}, documents)).To(HaveLen(1), "two winners")
	documents[2] = document(2, 2)
	g.Expect(checkHistory(heads, heads, documents)).To(HaveLen(1), "another account changed")
	documents[2] = document(2, 1)
	g.Expect(checkHistory(heads[:1], nil, documents)).To(HaveLen(1), "a version is missing")
}

func TestDrainCheckReportsOnlyLostConnections(t *testing.T) {
	g := NewWithT(t)
	drain := &InjectedFault{Fault: Fault{Kind: DrainProxy, Proxy: 1}, Target: "p", From: second(10), Until: second(12)}
	cut := load.Attempt{Proxy: 1, Sent: second(10.5), Ended: second(11), Outcome: load.Unknown, Code: load.ConnLost}
	check := func(a load.Attempt, faults ...*InjectedFault) []string {
		return cutByDrain([]load.Attempt{a}, drain, append(faults, drain), 5*time.Second)
	}
	g.Expect(check(cut)).To(HaveLen(1))
	other, answered, gaveUp := cut, cut, cut
	other.Proxy = 0
	answered.Code = "08007"
	gaveUp.Sent = second(6)
	for _, a := range []load.Attempt{other, answered, gaveUp} {
		g.Expect(check(a)).To(BeEmpty())
	}
	g.Expect(check(cut, &InjectedFault{Fault: Fault{Kind: KillProxy}, Target: "p", From: second(9), Until: second(9)})).To(BeEmpty())
}

func TestLongestGapSpansTheFault(t *testing.T) {
	g := NewWithT(t)
	acks := []time.Time{second(9), second(0), second(4), second(9.5), second(30)}
	g.Expect(longestGap(acks, second(5), second(12))).To(Equal(20500 * time.Millisecond))
	g.Expect(longestGap(acks, second(5), second(9))).To(Equal(5 * time.Second))
}

func TestOverlappingFaultsAreMerged(t *testing.T) {
	g := NewWithT(t)
	on := []activeFault{
		{Fault: Fault{Kind: SlowStore, Delay: time.Second}}, {Fault: Fault{Kind: SilenceStore}}, {Fault: Fault{Kind: RefuseStore}},
		{Fault{Kind: CutPrimary}, "a"}, {Fault{Kind: LagReplicas, Delay: time.Second}, "b"}, {Fault{Kind: LagReplicas, Delay: 2 * time.Second}, "b"},
	}
	g.Expect(platformFaults(on)).To(Equal(plat.Faults{Outage: plat.Hang, Delay: envdoc.Duration(time.Second)}))
	g.Expect(*endpointFaults(on, "a", 0).CutGroup).To(BeTrue())
	g.Expect(*endpointFaults(on, "b", 0).CutGroup).To(BeFalse())
	g.Expect(endpointFaults(on, "b", 0).ReplicationLag.Std()).To(Equal(2 * time.Second))
	g.Expect(endpointFaults(nil, "b", time.Millisecond).ReplicationLag.Std()).To(Equal(time.Millisecond))
}

func TestGroupCaughtUpRequiresConfirmedPosition(t *testing.T) {
	g := NewWithT(t)
	primary := group.Status{Term: 2, Sealed: 2, Role: group.PrimaryRole, Last: ident.LogPosition{Term: 2, Position: 9}, Confirmed: 8}
	replica := group.Status{Term: 2, Sealed: 2, Role: group.ReplicaRole, Last: ident.LogPosition{Term: 2, Position: 8}}
	g.Expect(groupCaughtUp([]group.Status{primary, replica, replica})).To(BeTrue())
	behind, old, sealed := replica, replica, replica
	behind.Last.Position = 7
	old.Term = 1
	sealed.Sealed = 3
	for _, s := range []group.Status{behind, old, sealed, primary} {
		g.Expect(groupCaughtUp([]group.Status{primary, replica, s})).To(BeFalse())
	}
}

func TestCallerStatementsCountsReadsAndInserts(t *testing.T) {
	g := NewWithT(t)
	c := endpt.Counters{Statements: map[string]int64{"insert": 2, "status": 50}, Reads: map[group.Role]int64{group.ReplicaRole: 3}}
	g.Expect(callerStatements(c)).To(Equal(int64(5)))
}

package relay

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/lead"
	"github.com/marjoramrudder/marjoramrudder/internal/roster"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// isolatedNode returns a node without peers.
func isolatedNode(t *testing.T) *Node {
	t.Helper()
	network := emul.NewNetwork()
	l, err := network.Listen("one:1")
	if err != nil {
		t.Fatal(err)
	}
	n, err := NewNode(context.Background(), NodeConfig{
		Self: roster.Member{Instance: "one"}, Environment: "test", Secret: "test", Listener: l, Connect: network.From("one"),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close(); network.Close() })
	return n
}

func members(count int) []roster.Member {
	var all []roster.Member
	for i := range count {
		all = append(all, roster.Member{Instance: ident.Instance(fmt.Sprintf("other-%d", i)), Start: 1})
	}
	return all
}

// Every instance sends a heartbeat to every other one each second, so its size
// must not grow with the number of instances.
func TestHeartbeatsHoldOnlyNewMembers(t *testing.T) {
	g := NewWithT(t)
	n := isolatedNode(t)
	n.SetMembers(members(80))
	g.Expect(n.nextHeartbeat().Members).To(HaveLen(80))
	g.Expect(n.nextHeartbeat().Members).To(BeEmpty())
	n.SetMembers(members(81))
	g.Expect(n.nextHeartbeat().Members).To(HaveLen(1))
	g.Expect(n.fullHeartbeat().Members).To(HaveLen(82), "the first heartbeat lists all members and the sender")
}

// An instance that does not own a group sends what it has observed of the group
// only once. The owner repeats it in every heartbeat.
func TestHeartbeatsSendProgressOnce(t *testing.T) {
	g := NewWithT(t)
	n := isolatedNode(t)
	r := newGroupRunner(t.Context(), "orders", n)
	defer func() { _ = r.Close() }()
	n.mu.Lock()
	n.runners["orders"] = r
	n.mu.Unlock()
	g.Expect(n.nextHeartbeat().Groups).To(BeEmpty())

	r.receiveProgress(lead.PeerProgress{From: "other", Term: 3, Acked: ident.LogPosition{Term: 3, Position: 7}})
	g.Expect(n.nextHeartbeat().Groups).To(BeEmpty(), "the peers received it as well")

	r.update(lead.PrimaryProof{Endpoint: "a", Term: 3, Wrote: true, Position: ident.LogPosition{Term: 3, Position: 8}})
	g.Expect(n.nextHeartbeat().Groups).To(HaveLen(1))
	g.Expect(n.nextHeartbeat().Groups).To(BeEmpty())

	r.setOwner(true)
	g.Expect(n.nextHeartbeat().Groups).To(HaveLen(1))
	g.Expect(n.nextHeartbeat().Groups).To(HaveLen(1))
}

// Directories arrive from the store and from peers at the same time. The newest
// revision has to win regardless of the order.
func TestNewestDirectoryWins(t *testing.T) {
	g := NewWithT(t)
	n := isolatedNode(t)
	r := newGroupRunner(t.Context(), "orders", n)
	defer func() { _ = r.Close() }()
	n.mu.Lock()
	n.runners["orders"] = r
	n.mu.Unlock()
	directory := func(r int) []sched.DirectoryEntry {
		return []sched.DirectoryEntry{{Group: "orders", Endpoint: sched.Endpoint{ID: "a", Address: fmt.Sprint(r)}}}
	}
	const newest = 200
	group := tasks.New(t.Context())
	for half := range 2 {
		group.Go(func(context.Context) error {
			for r := half; r <= newest; r += 2 - half {
				n.SetDirectory(ident.Revision(r), directory(r), "test")
			}
			return nil
		})
	}
	g.Expect(group.Wait()).To(Succeed())
	r.mu.Lock()
	defer r.mu.Unlock()
	g.Expect(r.endpoints["a"].Address).To(Equal(fmt.Sprint(newest)))
}

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

// quietNode returns a node that talks to nobody.
func quietNode(t *testing.T) *Node {
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

// Pulses go from each instance to each other one each second: what they hold
// must not grow with the number of instances.
func TestPulsesHoldOnlyWhatIsNew(t *testing.T) {
	g := NewWithT(t)
	n := quietNode(t)
	n.SetMembers(members(80))
	g.Expect(n.further().Members).To(HaveLen(80))
	g.Expect(n.further().Members).To(BeEmpty())
	n.SetMembers(members(81))
	g.Expect(n.further().Members).To(HaveLen(1))
	g.Expect(n.first().Members).To(HaveLen(82), "a new link begins with all, the sender included")
}

// What an instance alone has seen of a group goes to the others once; the one
// that serves the group repeats it.
func TestPulsesTellNewsOnce(t *testing.T) {
	g := NewWithT(t)
	n := quietNode(t)
	k := newKeeper(t.Context(), "orders", n)
	defer func() { _ = k.Close() }()
	n.mu.Lock()
	n.keepers["orders"] = k
	n.mu.Unlock()
	g.Expect(n.further().Groups).To(BeEmpty())

	k.hear(lead.PeerProgress{From: "other", Term: 3, Acked: ident.LogPosition{Term: 3, Position: 7}})
	g.Expect(n.further().Groups).To(BeEmpty(), "the others have heard it as well")

	k.tell(lead.PrimaryProof{Endpoint: "a", Term: 3, Wrote: true, Position: ident.LogPosition{Term: 3, Position: 8}})
	g.Expect(n.further().Groups).To(HaveLen(1))
	g.Expect(n.further().Groups).To(BeEmpty())

	k.setHome(true)
	g.Expect(n.further().Groups).To(HaveLen(1))
	g.Expect(n.further().Groups).To(HaveLen(1))
}

// Directories come from the store and from peers at the same time. Whatever the
// order, the newest one is what the groups work with.
func TestTheNewestDirectoryStays(t *testing.T) {
	g := NewWithT(t)
	n := quietNode(t)
	k := newKeeper(t.Context(), "orders", n)
	defer func() { _ = k.Close() }()
	n.mu.Lock()
	n.keepers["orders"] = k
	n.mu.Unlock()
	directory := func(r int) []sched.Listing {
		return []sched.Listing{{Group: "orders", Endpoint: sched.Endpoint{ID: "a", Address: fmt.Sprint(r)}}}
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
	k.mu.Lock()
	defer k.mu.Unlock()
	g.Expect(k.endpoints["a"].Address).To(Equal(fmt.Sprint(newest)))
}

package relay

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/roster"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// pulseInterval is how often an instance tells the others of itself when
	// nothing changes.
	pulseInterval = time.Second
	// pulseCheck is how often it looks whether it can begin to serve, or has to
	// ask for what another instance has.
	pulseCheck = 50 * time.Millisecond
	// servingDelay is how long an instance waits for its links after its start
	// before it offers to serve groups.
	servingDelay = 800 * time.Millisecond
	// lonelyDelay is the same for one that has heard of no other instance, neither
	// from the store nor from a seed: most likely there are others.
	lonelyDelay = 4 * time.Second
	// freshInterval is how often it tells the others of new instances.
	freshInterval = 100 * time.Millisecond
)

// first returns the pulse that begins a link: all that this instance knows.
func (n *Node) first() peer.Heartbeat {
	p := n.state()
	n.mu.Lock()
	members := n.roster.Members()
	n.mu.Unlock()
	for _, m := range members {
		p.Members = append(p.Members, peerMember(m))
	}
	for g, k := range n.ordered() {
		if m := k.news(clock.Now()); m.Term != 0 {
			p.Groups = append(p.Groups, peer.GroupProgress{Group: g, Acked: m.Acked, Term: m.Term, PromotionPending: m.PromotionPending})
		}
	}
	return p
}

// further returns a pulse for all links: this instance's state, and what the
// others may not know. Pulses go from each instance to each other one, so they
// hold nothing that grows with the number of instances.
func (n *Node) further() peer.Heartbeat {
	p := n.state()
	n.mu.Lock()
	fresh := n.fresh
	n.fresh = nil
	n.mu.Unlock()
	for _, m := range fresh {
		p.Members = append(p.Members, peerMember(m))
	}
	for g, k := range n.ordered() {
		if m, ok := k.untold(clock.Now()); ok {
			p.Groups = append(p.Groups, peer.GroupProgress{Group: g, Acked: m.Acked, Term: m.Term, PromotionPending: m.PromotionPending})
		}
	}
	return p
}

// ordered yields the keepers in order of their groups.
func (n *Node) ordered() func(yield func(ident.Group, *keeper) bool) {
	n.mu.Lock()
	keepers := maps.Clone(n.keepers)
	n.mu.Unlock()
	return func(yield func(ident.Group, *keeper) bool) {
		for _, g := range slices.Sorted(maps.Keys(keepers)) {
			if !yield(g, keepers[g]) {
				return
			}
		}
	}
}

// state returns what this instance says of itself.
func (n *Node) state() peer.Heartbeat {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := roster.State{Version: n.catalog.Load().Version, Serving: n.serving, Leaving: n.leaving}
	s.UnreachableGroups = slices.Sorted(maps.Keys(n.unfit))
	n.roster.SetSelf(s)
	return peer.Heartbeat{Version: s.Version, Directory: n.revision, Serving: s.Serving, Leaving: s.Leaving, UnreachableGroups: s.UnreachableGroups}
}

func peerMember(m roster.Member) peer.Member {
	return peer.Member{Instance: m.Instance, DataCentre: m.DataCentre, Address: m.Address, Start: m.Start, Capacity: m.Capacity}
}

// pulse tells the others of this instance and takes what follows from it.
func (n *Node) pulse() {
	n.mesh.Broadcast(n.further())
	n.assign()
}

func (n *Node) pulses(ctx context.Context) error {
	began := clock.Now()
	var told time.Time
	for ctx.Err() == nil {
		now := clock.Now()
		n.fetch(now)
		since := now.Sub(told)
		if n.beginServing(now, began) || since >= pulseInterval || since >= freshInterval && n.hasFresh() {
			n.pulse()
			told = now
		}
		tasks.Pause(ctx, pulseCheck)
	}
	return nil
}

func (n *Node) hasFresh() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.fresh) > 0
}

// beginServing offers to serve groups once most other instances are in touch,
// or did not come in time. It reports whether that is new.
func (n *Node) beginServing(now, began time.Time) bool {
	if !n.Ready() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delay := servingDelay
	if !n.met {
		delay = lonelyDelay
	}
	if n.serving || !n.roster.MostConnected() && now.Sub(began) < delay {
		return false
	}
	n.serving = true
	trace.Event("Serving", "Took", now.Sub(began).String(), "Version", n.catalog.Load().Version, "Directory", n.revision, "Members", n.roster.Count())
	return true
}

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
	// heartbeatInterval is the interval between heartbeats when nothing
	// changes.
	heartbeatInterval = time.Second
	// heartbeatCheck is the interval between checks for a due heartbeat, a due
	// fetch and whether the instance can begin to serve.
	heartbeatCheck = 50 * time.Millisecond
	// servingDelay is how long an instance waits for its links after its start
	// before it offers to own groups.
	servingDelay = 800 * time.Millisecond
	// aloneServingDelay applies instead to an instance that knows no other one,
	// neither from the store nor from a seed. It is longer because others most
	// likely exist.
	aloneServingDelay = 4 * time.Second
	// newMemberInterval is the minimum interval between heartbeats that
	// announce new members.
	newMemberInterval = 100 * time.Millisecond
)

// fullHeartbeat returns the first heartbeat on a link, with everything that
// this instance knows.
func (n *Node) fullHeartbeat() peer.Heartbeat {
	h := n.localState()
	n.mu.Lock()
	members := n.roster.Members()
	n.mu.Unlock()
	for _, m := range members {
		h.Members = append(h.Members, peerMember(m))
	}
	for g, r := range n.sortedRunners() {
		if m := r.progress(clock.Now()); m.Term != 0 {
			h.Groups = append(h.Groups, peer.GroupProgress{Group: g, Acked: m.Acked, Term: m.Term, PromotionPending: m.PromotionPending})
		}
	}
	return h
}

// nextHeartbeat returns a heartbeat for all links: the state of this instance
// and what its peers may not know. Every instance sends it to every other one,
// so its size must not grow with the number of instances.
func (n *Node) nextHeartbeat() peer.Heartbeat {
	h := n.localState()
	n.mu.Lock()
	added := n.newMembers
	n.newMembers = nil
	n.mu.Unlock()
	for _, m := range added {
		h.Members = append(h.Members, peerMember(m))
	}
	for g, r := range n.sortedRunners() {
		if m, ok := r.unsentProgress(clock.Now()); ok {
			h.Groups = append(h.Groups, peer.GroupProgress{Group: g, Acked: m.Acked, Term: m.Term, PromotionPending: m.PromotionPending})
		}
	}
	return h
}

// sortedRunners yields the runners sorted by group.
func (n *Node) sortedRunners() func(yield func(ident.Group, *groupRunner) bool) {
	n.mu.Lock()
	runners := maps.Clone(n.runners)
	n.mu.Unlock()
	return func(yield func(ident.Group, *groupRunner) bool) {
		for _, g := range slices.Sorted(maps.Keys(runners)) {
			if !yield(g, runners[g]) {
				return
			}
		}
	}
}

// localState returns a heartbeat with only the state of this instance.
func (n *Node) localState() peer.Heartbeat {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := roster.State{Version: n.catalog.Load().Version, Serving: n.serving, Leaving: n.leaving}
	s.UnreachableGroups = slices.Sorted(maps.Keys(n.unreachable))
	n.roster.SetSelf(s)
	return peer.Heartbeat{Version: s.Version, Directory: n.revision, Serving: s.Serving, Leaving: s.Leaving, UnreachableGroups: s.UnreachableGroups}
}

func peerMember(m roster.Member) peer.Member {
	return peer.Member{Instance: m.Instance, DataCentre: m.DataCentre, Address: m.Address, Start: m.Start, Capacity: m.Capacity}
}

// broadcastHeartbeat sends a heartbeat to all peers and reassigns the groups.
func (n *Node) broadcastHeartbeat() {
	n.mesh.Broadcast(n.nextHeartbeat())
	n.assignGroups()
}

func (n *Node) sendHeartbeats(ctx context.Context) error {
	began := clock.Now()
	var sentAt time.Time
	for ctx.Err() == nil {
		now := clock.Now()
		n.fetchUpdates(now)
		elapsed := now.Sub(sentAt)
		if n.beginServing(now, began) || elapsed >= heartbeatInterval || elapsed >= newMemberInterval && n.hasNewMembers() {
			n.broadcastHeartbeat()
			sentAt = now
		}
		tasks.Pause(ctx, heartbeatCheck)
	}
	return nil
}

func (n *Node) hasNewMembers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.newMembers) > 0
}

// beginServing sets the serving state once most other instances are connected
// or the delay has passed. It reports whether the state changed.
func (n *Node) beginServing(now, began time.Time) bool {
	if !n.Ready() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delay := servingDelay
	if !n.peersKnown {
		delay = aloneServingDelay
	}
	if n.serving || !n.roster.MostConnected() && now.Sub(began) < delay {
		return false
	}
	n.serving = true
	trace.Event("Serving", "Took", now.Sub(began).String(), "Version", n.catalog.Load().Version, "Directory", n.revision, "Members", n.roster.Count())
	return true
}

package relay

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/lead"
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
	// farHeartbeatSpacing is the average time between two heartbeats to
	// instances in other data centres that are not hubs. Their number grows with
	// the fleet.
	farHeartbeatSpacing = 16 * time.Millisecond
)

// fullHeartbeat returns the first heartbeat on a link, with everything that
// this instance knows except the list of members, which the peer requests if its
// own is older.
func (n *Node) fullHeartbeat() peer.Heartbeat {
	h := n.localState()
	n.mu.Lock()
	h.Members = []peer.Member{peerMember(n.config.Self)}
	h.Returned = n.evacuations.returns.recent(clock.Now())
	for _, m := range n.roster.Members() {
		if since, ok := n.unlisted[m.Instance]; ok && since.IsZero() && m.Instance != n.config.Self.Instance {
			h.Members = append(h.Members, peerMember(m))
		}
	}
	n.mu.Unlock()
	for g, r := range n.sortedRunners() {
		if m := r.progress(clock.Now()); m.Term != 0 {
			h.Groups = append(h.Groups, groupProgress(g, m))
		}
	}
	return h
}

// nextHeartbeat returns a heartbeat with the state of this instance and what its
// peers may not know. Its size must not grow with the number of instances. news
// is set if it contains something that is sent only once, and thus to all.
func (n *Node) nextHeartbeat() (h peer.Heartbeat, news bool) {
	h = n.localState()
	now := clock.Now()
	n.mu.Lock()
	added := n.unlisted.take(now, n.listingDelay())
	for _, p := range added {
		n.roster.SetUnlisted(p, false)
	}
	// The hubs announce this instance itself, because it is linked to them only.
	added = slices.DeleteFunc(added, func(p ident.Instance) bool { return p == n.config.Self.Instance })
	for _, m := range n.roster.Members() {
		if slices.Contains(added, m.Instance) {
			h.Members = append(h.Members, peerMember(m))
		}
	}
	n.mu.Unlock()
	news = len(added) > 0
	for g, r := range n.sortedRunners() {
		if m, once, ok := r.unsentProgress(now); ok {
			h.Groups = append(h.Groups, groupProgress(g, m))
			news = news || once
		}
	}
	return h, news
}

func groupProgress(g ident.Group, m lead.PeerProgress) peer.GroupProgress {
	return peer.GroupProgress{Group: g, Acked: m.Acked, Term: m.Term, PromotionPending: m.PromotionPending}
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
	s := roster.State{Version: n.catalog.Load().Version, Serving: n.serving, Leaving: n.leaving, Store: n.storeState}
	s.UnreachableGroups = slices.Sorted(maps.Keys(n.unreachable))
	n.roster.SetSelf(s)
	return peer.Heartbeat{
		Version: s.Version, Directory: n.revision, Serving: s.Serving, Leaving: s.Leaving, UnreachableGroups: s.UnreachableGroups,
		Store: uint8(s.Store), Roster: n.memberRevision, Evacuations: n.evacuations.revision,
	}
}

// broadcastHeartbeat sends a heartbeat to all peers and reassigns the groups.
func (n *Node) broadcastHeartbeat() {
	h, _ := n.nextHeartbeat()
	n.mesh.Broadcast(h)
	n.assignGroups()
}

// announceVersions tells the peers that a newer version is available here. In a
// large fleet, only hubs do, and only in their data centre, because every data
// centre has hubs that follow the store.
func (n *Node) announceVersions() {
	r := n.view.Load().roster
	if r.FullMesh() {
		n.broadcastHeartbeat()
		return
	}
	h := n.localState()
	if r.IsHub(n.config.Self.Instance) {
		n.mesh.Multicast(n.nearPeers(), h)
	}
	n.assignGroups()
}

// nearPeers returns the connected hubs and the peers in the same data centre.
func (n *Node) nearPeers() []ident.Instance {
	r := n.view.Load().roster
	dc := n.config.Self.DataCentre
	return slices.DeleteFunc(r.Connected(), func(p ident.Instance) bool { return !r.IsHub(p) && r.DataCentreOf(p) != dc })
}

func (n *Node) sendHeartbeats(ctx context.Context) error {
	began := clock.Now()
	var sentAt, farSentAt time.Time
	for ctx.Err() == nil {
		now := clock.Now()
		n.fetchUpdates(now)
		n.proceedWithoutEvacuations(now)
		n.trackDataCentres(now)
		elapsed := now.Sub(sentAt)
		if n.beginServing(now, began) || elapsed >= heartbeatInterval || elapsed >= newMemberInterval && n.hasUnlisted(now) {
			far := max(heartbeatInterval, time.Duration(n.fleetSize())*farHeartbeatSpacing)
			h, news := n.nextHeartbeat()
			if news || !h.Serving || now.Sub(farSentAt) >= far {
				n.mesh.Broadcast(h)
				farSentAt = now
			} else {
				n.mesh.Multicast(n.nearPeers(), h)
			}
			n.assignGroups()
			sentAt = now
		}
		tasks.Pause(ctx, heartbeatCheck)
	}
	return nil
}

func (n *Node) hasUnlisted(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unlisted.due(now, n.listingDelay())
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

package relay

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/lead"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/roster"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// connected takes a link to another instance that opened or was lost.
func (n *Node) connected(p ident.Instance, up bool, cause error) {
	silent := errors.Is(cause, context.DeadlineExceeded)
	n.mu.Lock()
	n.roster.SetConnected(p, up, silent)
	keepers := slices.Collect(maps.Values(n.keepers))
	n.mu.Unlock()
	trace.Event("PeerLink", "Peer", p, "Up", up, "Silent", silent)
	if up {
		n.assign()
		n.mesh.Offer(p, n.first())
		return
	}
	n.router.PeerLost(p)
	for _, k := range keepers {
		k.home.RollbackAll(p)
	}
	n.assign()
}

func (n *Node) handlers() *peer.Router {
	r := peer.NewRouter()
	peer.Handle(r, func(from ident.Instance, m peer.Call, _ time.Time) { n.router.ReceiveCall(from, m) })
	peer.Handle(r, func(from ident.Instance, m peer.Answer, _ time.Time) { n.router.ReceiveAnswer(from, m) })
	peer.Handle(r, func(from ident.Instance, m peer.Heartbeat, _ time.Time) { n.hear(from, m) })
	peer.Handle(r, func(from ident.Instance, m peer.DocumentRequest, _ time.Time) { n.giveConfig(from) })
	peer.Handle(r, func(from ident.Instance, m peer.ReachRequest, _ time.Time) { n.tellReach(from, m) })
	peer.Handle(r, func(_ ident.Instance, m peer.ReachReply, _ time.Time) { n.hearReach(m) })
	peer.Handle(r, func(from ident.Instance, m peer.QuotaRequest, _ time.Time) { n.gate.receiveAsk(from, m) })
	peer.Handle(r, func(_ ident.Instance, m peer.QuotaGrant, _ time.Time) { n.gate.receiveGrant(m) })
	peer.Handle(r, func(from ident.Instance, m peer.DirectoryRequest, _ time.Time) { n.giveDirectory(from, m) })
	peer.Handle(r, func(from ident.Instance, m peer.Directory, _ time.Time) {
		n.SetDirectory(m.Revision, m.Listings, string(from))
	})
	peer.Handle(r, func(from ident.Instance, m peer.Document, _ time.Time) { n.SetConfig(m.Text, string(from)) })
	return r
}

// hear takes what another instance says of itself.
func (n *Node) hear(from ident.Instance, m peer.Heartbeat) {
	n.mu.Lock()
	n.met = true
	n.configFetch.hear(clock.Now(), from, m.Version)
	n.directoryFetch.hear(clock.Now(), from, m.Directory)
	changed := n.roster.SetState(from, roster.State{Version: m.Version, Serving: m.Serving, Leaving: m.Leaving, UnreachableGroups: m.UnreachableGroups})
	fresh := false
	for _, o := range m.Members {
		fresh = n.learn(roster.Member{Instance: o.Instance, DataCentre: o.DataCentre, Address: o.Address, Start: o.Start, Capacity: o.Capacity}) || fresh
	}
	n.mu.Unlock()
	if fresh {
		n.dialMembers()
	}
	if changed || fresh {
		n.assign()
	}
	for _, g := range m.Groups {
		if k := n.keeper(g.Group); k != nil {
			k.hear(lead.PeerProgress{From: from, Acked: g.Acked, Term: g.Term, PromotionPending: g.PromotionPending})
		}
	}
	n.fetch(clock.Now())
}

// learn takes a member, and notes it for the others if it is new. The caller
// holds the mutex.
func (n *Node) learn(m roster.Member) bool {
	if !n.roster.Add(m) {
		return false
	}
	n.fresh = append(n.fresh, m)
	return true
}

// fetch asks other instances for a newer configuration or directory, if it is
// time to.
func (n *Node) fetch(now time.Time) {
	n.mu.Lock()
	version, revision := n.configFetch.newest, n.revision
	config, askConfig := n.configFetch.due(now)
	directory, askDirectory := n.directoryFetch.due(now)
	n.mu.Unlock()
	if askConfig {
		n.mesh.Offer(config, peer.DocumentRequest{Version: version})
	}
	if askDirectory {
		n.mesh.Offer(directory, peer.DirectoryRequest{Revision: revision})
	}
}

func (n *Node) giveConfig(to ident.Instance) {
	n.mu.Lock()
	m := peer.Document{Version: n.catalog.Load().Version, Text: n.text}
	n.mu.Unlock()
	if m.Version > 0 {
		n.mesh.Offer(to, m)
	}
}

// askOthers implements overseer.
func (n *Node) askOthers(g ident.Group, e ident.Endpoint) {
	n.mesh.Broadcast(peer.ReachRequest{Group: g, Endpoint: e})
}

// tellReach tries an endpoint for another instance.
func (n *Node) tellReach(from ident.Instance, m peer.ReachRequest) {
	k := n.keeper(m.Group)
	if k == nil {
		return
	}
	n.tasks.Go(func(ctx context.Context) error {
		n.mesh.Offer(from, k.reach(ctx, m.Endpoint))
		return nil
	})
}

func (n *Node) hearReach(m peer.ReachReply) {
	if k := n.keeper(m.Group); k != nil {
		k.tell(lead.PeerOpinion{Endpoint: m.Endpoint, Reached: m.Reached, IsPrimary: m.IsPrimary, Term: m.Term})
	}
}

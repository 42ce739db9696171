package relay

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/fetch"
	"github.com/marjoramrudder/marjoramrudder/internal/lead"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/roster"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// linkChanged handles a link to another instance that opened or was lost.
func (n *Node) linkChanged(process ident.Process, up bool, end peer.LinkEnd) {
	p := process.Instance
	silent := errors.Is(end.Cause, context.DeadlineExceeded)
	n.mu.Lock()
	n.roster.SetConnected(p, up, silent)
	runners := slices.Collect(maps.Values(n.runners))
	n.mu.Unlock()
	traceLink(p, up, silent, end)
	defer n.planLinks()
	if up {
		n.assignGroups()
		n.mesh.Offer(p, n.fullHeartbeat())
		return
	}
	n.forgetSource(p)
	n.router.PeerLost(process)
	for _, r := range runners {
		r.pool.RollbackAll(process)
	}
	n.assignGroups()
}

// forgetSource makes what was requested from a peer be requested from another one.
func (n *Node) forgetSource(p ident.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.configFetch.Forget(p)
	n.directoryFetch.Forget(p)
	n.memberFetch.Forget(p)
	n.evacuations.fetch.Forget(p)
}

// traceLink logs a link that opened or was lost. Incomplete above zero means that
// it was lost while a message was arriving.
func traceLink(p ident.Instance, up, silent bool, end peer.LinkEnd) {
	if up {
		trace.Event("PeerLink", "Peer", p, "Up", true)
		return
	}
	trace.Event("PeerLink", "Peer", p, "Up", false, "Silent", silent, "Cause", end.Cause.Error(), "Lasted", end.Lasted.String(),
		"Idle", end.Idle.String(), "Incomplete", end.Incomplete, "Queued", end.Queued)
}

func (n *Node) handlers() *peer.Router {
	r := peer.NewRouter()
	peer.Handle(r, func(from ident.Process, m peer.Call, _ time.Time) { n.router.ReceiveCall(from, m) })
	peer.Handle(r, func(from ident.Process, m peer.CallWithdrawn, _ time.Time) { n.router.ReceiveWithdrawal(from, m) })
	peer.Handle(r, func(from ident.Process, m peer.Answer, _ time.Time) { n.router.ReceiveAnswer(from, m) })
	peer.Handle(r, func(from ident.Process, m peer.Heartbeat, _ time.Time) { n.receiveHeartbeat(from.Instance, m) })
	peer.Handle(r, func(from ident.Process, m peer.DocumentRequest, _ time.Time) { n.sendConfig(from.Instance, m) })
	peer.Handle(r, func(from ident.Process, m peer.ReachRequest, _ time.Time) { n.replyReach(from.Instance, m) })
	peer.Handle(r, func(_ ident.Process, m peer.ReachReply, _ time.Time) { n.receiveReach(m) })
	peer.Handle(r, func(from ident.Process, m peer.QuotaRequest, _ time.Time) { n.limiter.receiveRequest(from.Instance, m) })
	peer.Handle(r, func(_ ident.Process, m peer.QuotaGrant, _ time.Time) { n.limiter.receiveGrant(m) })
	peer.Handle(r, func(from ident.Process, m peer.DirectoryRequest, _ time.Time) { n.sendDirectory(from.Instance, m) })
	peer.Handle(r, func(from ident.Process, m peer.EvacuationRequest, _ time.Time) { n.sendEvacuations(from.Instance, m) })
	peer.Handle(r, func(from ident.Process, m peer.EvacuationList, _ time.Time) { n.receiveEvacuations(from.Instance, m) })
	peer.Handle(r, func(from ident.Process, m peer.MemberRequest, _ time.Time) { n.sendMembers(from.Instance, m) })
	peer.Handle(r, func(from ident.Process, m peer.MemberList, _ time.Time) { n.receiveMembers(from.Instance, m) })
	peer.Handle(r, func(from ident.Process, m peer.Directory, _ time.Time) {
		n.SetDirectory(m.Revision, m.Listings, string(from.Instance))
	})
	peer.Handle(r, func(from ident.Process, m peer.Document, _ time.Time) { n.receiveConfig(from.Instance, m) })
	return r
}

// receiveHeartbeat applies the state that another instance reports.
func (n *Node) receiveHeartbeat(from ident.Instance, m peer.Heartbeat) {
	now := clock.Now()
	n.mu.Lock()
	n.peersKnown = true
	added := false
	for _, o := range m.Members {
		added = n.addUnlisted(now, rosterMember(o)) || added
	}
	source := fetch.Source{Instance: from, Near: n.roster.DataCentreOf(from) == n.config.Self.DataCentre}
	n.configFetch.Observe(now, source, m.Version)
	n.directoryFetch.Observe(now, source, m.Directory)
	n.memberFetch.Observe(now, source, m.Roster)
	n.evacuations.observe(now, source, m)
	returned := n.evacuations.enabled && n.evacuations.returns.learn(now, m.Returned)
	n.roster.Heard(now, from)
	changed := n.roster.SetState(from, roster.State{
		Version: m.Version, Serving: m.Serving, Leaving: m.Leaving, UnreachableGroups: m.UnreachableGroups, Store: roster.StoreState(m.Store),
	})
	n.mu.Unlock()
	if returned {
		n.passEndpoints(false)
	}
	if changed || added {
		n.assignGroups()
		n.planLinks()
	}
	for _, g := range m.Groups {
		if r := n.runner(g.Group); r != nil {
			r.receiveProgress(lead.PeerProgress{From: from, Acked: g.Acked, Term: g.Term, PromotionPending: g.PromotionPending})
		}
	}
	n.fetchUpdates(clock.Now())
}

// fetchUpdates requests a newer configuration, directory, list of members or set
// of evacuations from other instances if it is due.
func (n *Node) fetchUpdates(now time.Time) {
	n.mu.Lock()
	revision, roster := n.revision, n.memberRevision
	directory, directoryDue := n.directoryFetch.Due(now)
	members, membersDue := n.memberFetch.Due(now)
	evacuationRevision := n.evacuations.revision
	evacuationSource, evacuationsDue := n.evacuations.fetch.Due(now)
	n.mu.Unlock()
	n.requestConfig(now)
	if directoryDue {
		n.mesh.Offer(directory, peer.DirectoryRequest{Revision: revision})
	}
	if membersDue {
		n.mesh.Offer(members, peer.MemberRequest{Revision: roster})
	}
	if evacuationsDue {
		n.mesh.Offer(evacuationSource, peer.EvacuationRequest{Revision: evacuationRevision})
	}
}

// askPeers implements groupHost. It asks only the instances that could own the
// group, because each of them opens a connection to an endpoint in trouble.
func (n *Node) askPeers(g ident.Group, e ident.Endpoint) {
	n.mesh.Multicast(n.view.Load().roster.Witnesses(), peer.ReachRequest{Group: g, Endpoint: e})
}

// replyReach checks an endpoint for another instance and replies.
func (n *Node) replyReach(from ident.Instance, m peer.ReachRequest) {
	r := n.runner(m.Group)
	if r == nil {
		return
	}
	n.tasks.Go(func(ctx context.Context) error {
		n.mesh.Offer(from, r.checkReach(ctx, m.Endpoint))
		return nil
	})
}

func (n *Node) receiveReach(m peer.ReachReply) {
	if r := n.runner(m.Group); r != nil {
		r.update(lead.PeerOpinion{Endpoint: m.Endpoint, Reached: m.Reached, IsPrimary: m.IsPrimary, Term: m.Term})
	}
}

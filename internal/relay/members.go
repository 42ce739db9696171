package relay

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/roster"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// listingDelay is how long a new instance may be missing from the list of
// members before the others are told of it. It covers the time until the list
// has been read again. A small fleet does not wait.
const listingDelay = 5 * time.Second

// registerDelay is how long this instance may be missing from the list before
// it writes its entry again.
const registerDelay = 30 * time.Second

// unlisted holds the instances that are known from their heartbeats only, and
// since when. They could not be added to the list of members yet, most likely
// because the store is out. The time is zero once the others have been told.
type unlisted map[ident.Instance]time.Time

// take returns the instances of which the others have to be told now.
func (u unlisted) take(now time.Time, delay time.Duration) []ident.Instance {
	var out []ident.Instance
	for n, since := range u {
		if !since.IsZero() && now.Sub(since) >= delay {
			out = append(out, n)
			u[n] = time.Time{}
		}
	}
	slices.Sort(out)
	return out
}

// due reports whether take would return any instance.
func (u unlisted) due(now time.Time, delay time.Duration) bool {
	for _, since := range u {
		if !since.IsZero() && now.Sub(since) >= delay {
			return true
		}
	}
	return false
}

// SetMembers replaces the list of members if the revision is newer. source is
// logged.
func (n *Node) SetMembers(revision ident.Revision, all []roster.Member, source string) {
	n.mu.Lock()
	if n.listed != nil && revision <= n.memberRevision {
		n.mu.Unlock()
		return
	}
	n.peersKnown = true
	n.memberRevision, n.listed = revision, all
	n.memberFetch.Received(clock.Now(), revision)
	seen := make(map[ident.Instance]bool)
	for _, m := range all {
		seen[m.Instance] = true
		n.listMember(m.Instance)
		n.roster.Add(m)
	}
	for _, m := range n.roster.Members() {
		if !seen[m.Instance] && !n.roster.IsConnected(m.Instance) {
			n.roster.Remove(m.Instance)
			delete(n.unlisted, m.Instance)
		}
	}
	if self := n.config.Self.Instance; !seen[self] {
		n.markUnlisted(clock.Now(), self)
	}
	n.recordMissing(clock.Now(), !seen[n.config.Self.Instance])
	count := n.roster.Count()
	n.mu.Unlock()
	trace.Event("MembersInForce", "Revision", revision, "Members", count, "Source", source)
	n.assignGroups()
	n.planLinks()
}

// addUnlisted adds an instance that is known from a heartbeat only. It reports
// whether the instance is new. The caller holds the mutex.
func (n *Node) addUnlisted(now time.Time, m roster.Member) bool {
	if !n.roster.Add(m) {
		return false
	}
	n.markUnlisted(now, m.Instance)
	return true
}

// markUnlisted records that an instance is missing from the list of members. In
// a large fleet it becomes a hub only when the others have been told of it. The
// caller holds the mutex.
func (n *Node) markUnlisted(now time.Time, p ident.Instance) {
	if _, known := n.unlisted[p]; known {
		return
	}
	n.unlisted[p] = now
	n.roster.SetUnlisted(p, n.listed != nil && !n.roster.FullMesh())
}

// listMember records that all instances know p, or have been told of it. The
// caller holds the mutex.
func (n *Node) listMember(p ident.Instance) {
	delete(n.unlisted, p)
	n.roster.SetUnlisted(p, false)
}

// listingDelay returns how long an instance may be missing from the list. The
// caller holds the mutex.
func (n *Node) listingDelay() time.Duration {
	if n.roster.FullMesh() {
		return 0
	}
	return listingDelay
}

// recordMissing records whether this instance is missing from the list. The
// caller holds the mutex.
func (n *Node) recordMissing(now time.Time, missing bool) {
	if !missing {
		n.missingSince = time.Time{}
	} else if n.missingSince.IsZero() {
		n.missingSince = now
	}
}

// MustRegister reports whether this instance has been missing from the list of
// members for long, because its entry was removed.
func (n *Node) MustRegister(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.missingSince.IsZero() && now.Sub(n.missingSince) >= registerDelay
}

// Departed returns the members whose entries this instance has to remove from
// the list.
func (n *Node) Departed(now time.Time) []roster.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	departed := n.departures.Update(now, n.roster)
	return slices.DeleteFunc(n.roster.Members(), func(m roster.Member) bool { return !slices.Contains(departed, m.Instance) })
}

// planLinks makes the mesh keep the planned links.
func (n *Node) planLinks() {
	n.planMu.Lock()
	defer n.planMu.Unlock()
	n.mu.Lock()
	links := n.roster.Links()
	n.mu.Unlock()
	targets := make([]peer.Target, len(links))
	for i, l := range links {
		targets[i] = peer.Target{Instance: l.Peer.Instance, Address: l.Peer.Address, Mutual: l.Mutual}
	}
	n.mesh.SetTargets(targets)
}

// peerUnreachable handles a peer that can't be dialled.
func (n *Node) peerUnreachable(p ident.Instance) {
	n.mu.Lock()
	news := n.roster.SetUnreachable(p)
	n.mu.Unlock()
	if !news {
		return
	}
	trace.Event("PeerUnreachable", "Peer", p)
	n.assignGroups()
	n.planLinks()
}

// fleetSize returns the number of known instances.
func (n *Node) fleetSize() int { return n.view.Load().roster.Count() }

// sendMembers sends the list of members to an instance with an older one.
func (n *Node) sendMembers(to ident.Instance, m peer.MemberRequest) {
	n.mu.Lock()
	list := peer.MemberList{Revision: n.memberRevision}
	for _, o := range n.listed {
		list.Members = append(list.Members, peerMember(o))
	}
	n.mu.Unlock()
	if list.Revision > m.Revision {
		n.mesh.Offer(to, list)
	}
}

func (n *Node) receiveMembers(from ident.Instance, m peer.MemberList) {
	all := make([]roster.Member, len(m.Members))
	for i, o := range m.Members {
		all[i] = rosterMember(o)
	}
	n.SetMembers(m.Revision, all, string(from))
}

func peerMember(m roster.Member) peer.Member {
	return peer.Member{Instance: m.Instance, DataCentre: m.DataCentre, Address: m.Address, Start: m.Start, Capacity: m.Capacity}
}

func rosterMember(m peer.Member) roster.Member {
	return roster.Member{Instance: m.Instance, DataCentre: m.DataCentre, Address: m.Address, Start: m.Start, Capacity: m.Capacity}
}

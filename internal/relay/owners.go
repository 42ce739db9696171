package relay

import (
	"context"
	"maps"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/roster"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// view is the immutable snapshot of a node that requests read without a lock.
type view struct {
	roster      *roster.Roster
	dataCentres map[ident.Group]ident.DataCentre
	owners      map[ident.Group]ident.Instance
	runners     map[ident.Group]*groupRunner
	peersKnown  bool
}

// unconnectedShare is the fraction of an account's rate that an instance grants
// before it has learned of any other instance. A hundred or more instances may
// do the same at the same time.
const unconnectedShare = 0.01

// publish publishes a new view. The caller holds the mutex.
func (n *Node) publish() {
	v := &view{
		roster: n.roster.Clone(), dataCentres: make(map[ident.Group]ident.DataCentre),
		owners: make(map[ident.Group]ident.Instance), runners: maps.Clone(n.runners), peersKnown: n.peersKnown,
	}
	now := clock.Now()
	for g := range n.runners {
		v.dataCentres[g] = n.locations.DataCentre(now, g)
		v.owners[g] = v.roster.Owner(g, v.dataCentres[g])
	}
	n.view.Store(v)
}

// OwnerOf implements GroupLocator.
func (n *Node) OwnerOf(g ident.Group, avoid ...ident.Instance) ident.Instance {
	v := n.view.Load()
	if owner, ok := v.owners[g]; ok && len(avoid) == 0 {
		return owner
	}
	return v.roster.Owner(g, v.dataCentres[g], avoid...)
}

// Owns reports whether this instance owns the group.
func (n *Node) Owns(g ident.Group) bool {
	r := n.runner(g)
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner
}

// Local implements GroupLocator.
func (n *Node) Local(g ident.Group) *GroupPool {
	if r := n.runner(g); r != nil {
		return r.pool
	}
	return nil
}

func (n *Node) runner(g ident.Group) *groupRunner {
	return n.view.Load().runners[g]
}

// quotaOwnerOf implements quotaOwners.
func (n *Node) quotaOwnerOf(a ident.Account) (ident.Instance, int, float64) {
	v := n.view.Load()
	share := v.roster.QuotaShare()
	if !v.peersKnown {
		share = unconnectedShare
	}
	return v.roster.QuotaOwner(a), v.roster.Count(), share
}

// quotaOf returns an account's quota in the catalog in force.
func (n *Node) quotaOf(a ident.Account) (engine.Quota, bool) {
	known, ok := n.catalog.Load().Accounts[a]
	return known.Quota, ok
}

// assignGroups notifies each runner whether this instance owns its group.
// Assignments are serialised, so that an older one never overwrites a newer
// one.
func (n *Node) assignGroups() {
	n.assignMu.Lock()
	defer n.assignMu.Unlock()
	for r, owner := range n.assignments() {
		r.setOwner(owner)
	}
}

func (n *Node) assignments() map[*groupRunner]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.publish()
	v := n.view.Load()
	owned := make(map[*groupRunner]bool, len(n.runners))
	for g, r := range n.runners {
		owned[r] = n.serving && !n.leaving && v.roster.IsHub(n.config.Self.Instance) && v.owners[g] == n.config.Self.Instance
	}
	return owned
}

// broadcastProgress implements groupHost.
func (n *Node) broadcastProgress() {
	n.tasks.Go(func(context.Context) error {
		h, _ := n.nextHeartbeat()
		n.mesh.Broadcast(h)
		return nil
	})
}

// setUnreachable implements groupHost.
func (n *Node) setUnreachable(g ident.Group, unreachable bool) {
	n.tasks.Go(func(context.Context) error {
		n.mu.Lock()
		delete(n.unreachable, g)
		if unreachable {
			n.unreachable[g] = true
		}
		n.mu.Unlock()
		n.broadcastHeartbeat()
		return nil
	})
}

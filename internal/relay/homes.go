package relay

import (
	"context"
	"maps"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/roster"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// view is what requests read of a node, without a lock. It never changes once
// it is published.
type view struct {
	roster  *roster.Roster
	near    map[ident.Group]ident.DataCentre
	homes   map[ident.Group]ident.Instance
	keepers map[ident.Group]*keeper
	met     bool
}

// lonelyShare is the part of an account's rate that an instance grants which has
// heard of no other one: some hundred may do the same.
const lonelyShare = 0.01

// publish lets requests see the node's present state. The caller holds the
// mutex.
func (n *Node) publish() {
	v := &view{
		roster: n.roster.Clone(), near: make(map[ident.Group]ident.DataCentre),
		homes: make(map[ident.Group]ident.Instance), keepers: maps.Clone(n.keepers), met: n.met,
	}
	now := clock.Now()
	for g := range n.keepers {
		v.near[g] = n.places.DataCentre(now, g)
		v.homes[g] = v.roster.Owner(g, v.near[g])
	}
	n.view.Store(v)
}

// OwnerOf implements GroupLocator.
func (n *Node) OwnerOf(g ident.Group, avoid ...ident.Instance) ident.Instance {
	v := n.view.Load()
	if h, ok := v.homes[g]; ok && len(avoid) == 0 {
		return h
	}
	return v.roster.Owner(g, v.near[g], avoid...)
}

// Owns reports whether this instance holds the group's connections.
func (n *Node) Owns(g ident.Group) bool {
	k := n.keeper(g)
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isHome
}

// Local implements GroupLocator.
func (n *Node) Local(g ident.Group) *GroupPool {
	if k := n.keeper(g); k != nil {
		return k.home
	}
	return nil
}

func (n *Node) keeper(g ident.Group) *keeper {
	return n.view.Load().keepers[g]
}

// keeperOf implements keepers.
func (n *Node) keeperOf(a ident.Account) (ident.Instance, int, float64) {
	v := n.view.Load()
	share := v.roster.QuotaShare()
	if !v.met {
		share = lonelyShare
	}
	return v.roster.QuotaOwner(a), v.roster.Count(), share
}

// quotaOf returns an account's quota in the catalog in force.
func (n *Node) quotaOf(a ident.Account) (engine.Quota, bool) {
	known, ok := n.catalog.Load().Accounts[a]
	return known.Quota, ok
}

// assign tells each keeper whether its group's connections are held here. One
// assignment follows the other, so that none is overtaken by an older one.
func (n *Node) assign() {
	n.assigning.Lock()
	defer n.assigning.Unlock()
	for k, home := range n.assignments() {
		k.setHome(home)
	}
}

func (n *Node) assignments() map[*keeper]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.publish()
	v := n.view.Load()
	homes := make(map[*keeper]bool, len(n.keepers))
	for g, k := range n.keepers {
		homes[k] = n.serving && !n.leaving && v.homes[g] == n.config.Self.Instance
	}
	return homes
}

// spread implements overseer.
func (n *Node) spread() {
	n.tasks.Go(func(context.Context) error {
		n.mesh.Broadcast(n.further())
		return nil
	})
}

// setUnfit implements overseer.
func (n *Node) setUnfit(g ident.Group, unfit bool) {
	n.tasks.Go(func(context.Context) error {
		n.mu.Lock()
		delete(n.unfit, g)
		if unfit {
			n.unfit[g] = true
		}
		n.mu.Unlock()
		n.pulse()
		return nil
	})
}

package relay

import (
	"context"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// HomeOf implements Homes.
func (n *Node) HomeOf(g ident.Group, avoid ...ident.Instance) ident.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.Home(g, n.places.Near(clock.Now(), g), avoid...)
}

// Local implements Homes.
func (n *Node) Local(g ident.Group) *Home {
	if k := n.keeper(g); k != nil {
		return k.home
	}
	return nil
}

func (n *Node) keeper(g ident.Group) *keeper {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.keepers[g]
}

// keeperOf implements keepers.
func (n *Node) keeperOf(a ident.Account) (ident.Instance, int, float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.Keeper(a), len(n.roster.Members()), n.roster.Share()
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
	homes := make(map[*keeper]bool, len(n.keepers))
	for g, k := range n.keepers {
		homes[k] = n.serving && n.roster.Home(g, n.places.Near(clock.Now(), g)) == n.config.Self.Instance
	}
	return homes
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

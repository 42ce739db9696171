package engine

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

func TestChangesFrom(t *testing.T) {
	g := NewWithT(t)
	catalog := func(routes map[ident.Route]Route, accounts map[ident.Account]Account) *Catalog {
		c := &Catalog{Routes: routes, Accounts: accounts}
		c.BuildKeyIndex()
		return c
	}
	old := catalog(
		map[ident.Route]Route{"a": {Name: "a"}, "b": {Name: "b"}, "c": {Name: "c"}},
		map[ident.Account]Account{"shop": {Name: "shop", Keys: []string{"k1", "k2"}, Quota: Quota{Rate: 10}}},
	)
	next := catalog(
		map[ident.Route]Route{"a": {Name: "a"}, "b": {Name: "b", Open: true}, "d": {Name: "d"}},
		map[ident.Account]Account{"shop": {Name: "shop", Keys: []string{"k2", "k3", "k4"}, Quota: Quota{Rate: 5}}},
	)
	g.Expect(next.ChangesFrom(old)).To(Equal(Changes{
		RoutesAdded: 1, RoutesRemoved: 1, RoutesChanged: 1, KeysAdded: 2, KeysRevoked: 1, QuotasChanged: 1,
	}))
	g.Expect(next.ChangesFrom(next)).To(Equal(Changes{}))
}

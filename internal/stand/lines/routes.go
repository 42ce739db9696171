package lines

import (
	"fmt"
	"slices"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/audit"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Account is a client account and one of its keys.
type Account struct {
	Name ident.Account
	Key  string
}

// Route is a route and what it promises its reads.
type Route struct {
	Name      ident.Route
	Group     ident.Group
	Freshness audit.Freshness
}

// Routes returns the routes whose reads see the session's own writes.
func (d *Deployment) Routes() []Route {
	return slices.DeleteFunc(d.AllRoutes(), func(r Route) bool { return r.Freshness != audit.OwnWrites })
}

// AllRoutes returns three routes to each group, one of each kind.
func (d *Deployment) AllRoutes() []Route {
	var out []Route
	for i, g := range d.groups {
		for _, k := range routeKinds {
			out = append(out, Route{Name: ident.Route(fmt.Sprintf("%s%d", k.prefix, i+1)), Group: g.Name(), Freshness: k.freshness})
		}
	}
	return out
}

// movedRoute leads to another group in each version of the configuration.
const movedRoute ident.Route = "moved"

// WorkerRoutes returns the routes of the workers: those of AllRoutes, and the one that
// moves between the groups.
func (d *Deployment) WorkerRoutes() []Route {
	return append(d.AllRoutes(), Route{Name: movedRoute, Freshness: audit.OwnWrites})
}

// routeKind is a kind of routes: the start of their names, and the kind in the
// configuration.
type routeKind struct {
	freshness audit.Freshness
	prefix    string
	kind      string
}

var routeKinds = []routeKind{{audit.Current, "now", emul.Current}, {audit.Bounded, "soon", emul.Bounded}, {audit.OwnWrites, "own", emul.OwnWrites}}

// accountName returns the name of the account with an index, from 0.
func accountName(i int) ident.Account { return ident.Account(fmt.Sprintf("account%d", i+1)) }

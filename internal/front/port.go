// Package front serves callers: it speaks PostgreSQL protocol 3 with them,
// decides for each batch of messages where it runs, and gives whole answers.
// It asserts that no write is acknowledged before its confirmation and that a
// caller's bytes come from its own request alone.
package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Keeper is what the request path asks about one database group.
type Keeper interface {
	// View returns the latest snapshot of the group.
	View() *group.View
	// Floor returns a mark that covers every write acknowledged before asked.
	Floor(ctx context.Context, asked time.Time) (ident.LogPosition, error)
	// Failed reports an endpoint that could not be used in term.
	Failed(endpoint ident.Endpoint, term ident.Term, now time.Time)
	// Observe takes a status that came along with other work.
	Observe(endpoint ident.Endpoint, status group.Status, now time.Time)
	// Changed is closed at the next change of term or primary.
	Changed() <-chan struct{}
}

// Group is the server side of one database group.
type Group struct {
	Name      ident.Group
	Monitor   Keeper
	Pools     map[ident.Endpoint]*back.Pool
	Confirmer *back.Confirmer
}

// Route is a route with the group that it leads to.
type Route struct {
	envdoc.Route
	Group *Group
}

// Table maps names to routes. A change replaces the whole snapshot.
type Table struct {
	routes atomic.Pointer[map[ident.Route]*Route]
}

// Set replaces all routes.
func (t *Table) Set(routes []*Route) {
	snapshot := make(map[ident.Route]*Route, len(routes))
	for _, r := range routes {
		snapshot[r.Name] = r
	}
	t.routes.Store(&snapshot)
}

// Known reports whether routes were set, which takes a document in force.
func (t *Table) Known() bool { return t.routes.Load() != nil }

// Get returns the named route, or nil.
func (t *Table) Get(name ident.Route) *Route {
	if m := t.routes.Load(); m != nil {
		return (*m)[name]
	}
	return nil
}

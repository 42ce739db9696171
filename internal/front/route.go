// Package front serves callers over the PostgreSQL protocol, version 3. It
// decides for each batch of messages at which endpoint it runs, and returns
// complete answers. It asserts that no write is acknowledged before its
// confirmation, and relays to a caller only the answers to its own requests.
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

// GroupMonitor is the view of one database group that requests use. It is
// implemented by group.Monitor.
type GroupMonitor interface {
	// View returns the latest snapshot of the group.
	View() *group.View
	// Floor returns a log position that covers every write acknowledged
	// before requestedAt.
	Floor(ctx context.Context, requestedAt time.Time) (ident.LogPosition, error)
	// Failed reports that a request in term could not use the endpoint.
	Failed(endpoint ident.Endpoint, term ident.Term, now time.Time)
	// Observe takes a status that arrived with the answer to a request.
	Observe(endpoint ident.Endpoint, status group.Status, now time.Time)
	// Changed returns a channel that is closed at the next change of term or
	// primary.
	Changed() <-chan struct{}
}

// Group holds the monitor and the connection pools of one database group.
type Group struct {
	Name      ident.Group
	Monitor   GroupMonitor
	Pools     map[ident.Endpoint]*back.Pool
	Confirmer *back.Confirmer
}

// Route is a route of the document with its group.
type Route struct {
	envdoc.Route
	Group *Group
}

// RouteTable maps names to routes. Each change replaces the whole map, so that
// requests read it without a lock.
type RouteTable struct {
	routes atomic.Pointer[map[ident.Route]*Route]
}

// Set replaces all routes.
func (t *RouteTable) Set(routes []*Route) {
	snapshot := make(map[ident.Route]*Route, len(routes))
	for _, r := range routes {
		snapshot[r.Name] = r
	}
	t.routes.Store(&snapshot)
}

// Known reports whether routes have been set, which happens once a document is
// in force.
func (t *RouteTable) Known() bool { return t.routes.Load() != nil }

// Get returns the named route, or nil.
func (t *RouteTable) Get(name ident.Route) *Route {
	if m := t.routes.Load(); m != nil {
		return (*m)[name]
	}
	return nil
}

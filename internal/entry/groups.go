package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/fleet"
	"github.com/marjoramrudder/marjoramrudder/internal/front"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// NewWaitQueueFunc returns a new wait queue for an endpoint.
type NewWaitQueueFunc func() back.WaitQueue

// Groups holds the monitor and the connections of every database group of the
// document in force. It is updated when documents, instances or endpoints
// change.
type Groups struct {
	self         ident.Instance
	env          ident.Environment
	creds        back.Credentials
	events       *event.Log
	peers        peer.Sender
	termRecords  store.TermRecords
	table        *front.RouteTable
	newWaitQueue NewWaitQueueFunc
	background   *tasks.Group // closes what a change has replaced

	mu      sync.Mutex
	served  map[ident.Group]*servedGroup
	live    []ident.Instance
	leaving map[ident.Endpoint]bool
}

// servedGroup is a database group with its monitor and connections.
type servedGroup struct {
	config   envdoc.Group
	front    *front.Group
	monitor  *group.Monitor
	controls *controls
	tasks    *tasks.Group
}

// NewGroups returns a Groups without any database group.
func NewGroups(self ident.Instance, env ident.Environment, creds back.Credentials, events *event.Log, peers peer.Sender, termRecords store.TermRecords, table *front.RouteTable, newWaitQueue NewWaitQueueFunc) *Groups {
	return &Groups{
		self:         self,
		env:          env,
		creds:        creds,
		events:       events,
		peers:        peers,
		termRecords:  termRecords,
		table:        table,
		newWaitQueue: newWaitQueue,
		background:   tasks.New(context.Background()),
		served:       make(map[ident.Group]*servedGroup),
		live:         []ident.Instance{self},
	}
}

// Apply applies the groups and routes of a document. Running requests keep
// their connections.
func (s *Groups) Apply(doc *envdoc.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[ident.Group]*servedGroup, len(doc.Groups))
	for _, g := range doc.Groups {
		kept[g.Name] = s.update(s.served[g.Name], g)
	}
	previous := s.served
	s.served = kept
	s.table.Set(s.routes(doc))
	for name, old := range previous {
		if kept[name] == nil {
			s.retire(old)
		}
	}
	s.updateMonitors()
}

func (s *Groups) routes(doc *envdoc.Document) []*front.Route {
	routes := make([]*front.Route, 0, len(doc.Routes))
	for _, r := range doc.Routes {
		routes = append(routes, &front.Route{Route: r, Group: s.served[r.Group].front})
	}
	return routes
}

// update returns the group for the configuration g. If old is not nil, it is
// updated.
func (s *Groups) update(old *servedGroup, g envdoc.Group) *servedGroup {
	if old == nil {
		return s.serve(g)
	}
	old.controls.set(g)
	pools := make(map[ident.Endpoint]*back.Pool, len(g.Endpoints))
	for _, e := range g.Endpoints {
		if before := old.endpoint(e.Name); before != nil && before.Address == e.Address {
			pools[e.Name] = old.front.Pools[e.Name]
			continue
		}
		pools[e.Name] = s.newPool(e)
	}
	replaced := old.front.Pools
	updated := *old.front
	updated.Pools = pools
	old.front, old.config = &updated, g
	old.monitor.SetDocument(g)
	s.background.Go(func(context.Context) error { return closePools(replaced, pools) })
	return old
}

func (s *servedGroup) endpoint(name ident.Endpoint) *envdoc.Endpoint {
	for i := range s.config.Endpoints {
		if s.config.Endpoints[i].Name == name {
			return &s.config.Endpoints[i]
		}
	}
	return nil
}

func (s *Groups) serve(g envdoc.Group) *servedGroup {
	c := newControls(s.creds)
	c.set(g)
	monitor := group.NewMonitor(s.self, g, c.server,
		group.WithEvents(s.events),
		group.WithPeers(s.peers),
		group.WithPromoted(func(term ident.Term, primary ident.Endpoint) { s.recordPromotion(g.Name, term, primary) }),
	)
	pools := make(map[ident.Endpoint]*back.Pool, len(g.Endpoints))
	for _, e := range g.Endpoints {
		pools[e.Name] = s.newPool(e)
	}
	confirmer := back.NewConfirmer(func(term ident.Term) group.Server {
		v := monitor.View()
		if v.Term != term || v.Primary == group.NoEndpoint {
			return nil
		}
		return c.server(v.PrimaryName())
	})
	served := &servedGroup{
		config:   g,
		front:    &front.Group{Name: g.Name, Monitor: monitor, Pools: pools, Confirmer: confirmer},
		monitor:  monitor,
		controls: c,
		tasks:    tasks.New(context.Background()),
	}
	served.tasks.Go(func(ctx context.Context) error { return s.watchPrimary(ctx, served) })
	return served
}

func (s *Groups) newPool(e envdoc.Endpoint) *back.Pool {
	return back.NewPool(e, s.creds, connectionShare(e, len(s.live)), s.newWaitQueue())
}

// connectionShare returns how many connections to an endpoint each instance may
// open. One connection per instance is reserved for control.
func connectionShare(e envdoc.Endpoint, instances int) int {
	instances = max(1, instances)
	return max(1, (e.Connections-instances)/instances)
}

// recordPromotion stores a term record in the table service, for operators.
func (s *Groups) recordPromotion(name ident.Group, term ident.Term, primary ident.Endpoint) {
	s.background.Go(func(ctx context.Context) error {
		record := store.TermRecord{Group: name, Term: term, Primary: primary, PromotedBy: s.self}
		if err := s.termRecords.Record(ctx, s.env, record); err != nil {
			klog.InfoS("Failed to store term record", "group", name, "err", err)
		}
		return nil
	})
}

// SetLive sets the live instances, including this one.
func (s *Groups) SetLive(live []ident.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live = live
	for _, t := range s.served {
		for _, e := range t.config.Endpoints {
			t.front.Pools[e.Name].SetLimit(connectionShare(e, len(live)))
		}
	}
	s.updateMonitors()
}

// SetLeaving sets the endpoints that the platform lists as leaving.
func (s *Groups) SetLeaving(leaving map[ident.Endpoint]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
	s.updateMonitors()
}

// updateMonitors passes its rank and its leaving endpoints to every monitor.
func (s *Groups) updateMonitors() {
	for name, t := range s.served {
		t.monitor.SetRank(fleet.RankOf(string(name), s.live, s.self), len(s.live))
		var leaving []ident.Endpoint
		for _, e := range t.config.Endpoints {
			if s.leaving[e.Name] {
				leaving = append(leaving, e.Name)
			}
		}
		t.monitor.SetLeaving(leaving)
	}
}

// Receive handles the state of a group that a peer sent.
func (s *Groups) Receive(_ ident.Process, state peer.GroupState, now time.Time) {
	s.mu.Lock()
	t := s.served[state.Group]
	s.mu.Unlock()
	if t != nil {
		t.monitor.Receive(state, now)
	}
}

// Views returns a snapshot of every group.
func (s *Groups) Views() []*group.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	views := make([]*group.View, 0, len(s.served))
	for _, t := range s.served {
		views = append(views, t.monitor.View())
	}
	return views
}

// CloseIdle closes the control connections that have not been used since
// before. Endpoints accept only a limited number of connections.
func (s *Groups) CloseIdle(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.served {
		t.controls.closeIdle(before)
	}
}

// Close closes all groups and waits for them.
func (s *Groups) Close() error {
	s.mu.Lock()
	groups := s.served
	s.served = nil
	s.mu.Unlock()
	for _, t := range groups {
		s.retire(t)
	}
	return s.background.Close()
}

// retire closes a group in the background.
func (s *Groups) retire(t *servedGroup) {
	s.background.Go(func(context.Context) error { return t.close() })
}

func (s *servedGroup) close() error {
	err := errors.Wrap(s.tasks.Close(), "stop watching the primary")
	err = errors.CombineErrors(err, errors.Wrap(s.monitor.Close(), "close monitor"))
	err = errors.CombineErrors(err, errors.Wrap(s.front.Confirmer.Close(), "close confirmer"))
	err = errors.CombineErrors(err, closePools(s.front.Pools, nil))
	return errors.CombineErrors(err, s.controls.close())
}

// closePools closes the pools that are not also in kept.
func closePools(pools, kept map[ident.Endpoint]*back.Pool) error {
	var g errgroup.Group
	for name, p := range pools {
		if kept[name] != p {
			g.Go(p.Close)
		}
	}
	return g.Wait()
}

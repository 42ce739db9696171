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

// NewLine returns the order in which an endpoint's waiters are served.
type NewLine func() back.WaitQueue

// Sites holds the server side of every database group of the document in
// force, and changes it as documents, instances and endpoints change.
type Sites struct {
	self    ident.Instance
	env     ident.Environment
	creds   back.Credentials
	events  *event.Log
	peers   peer.Sender
	reigns  store.TermRecords
	table   *front.Table
	newLine NewLine
	closing *tasks.Group // ends what a change has replaced

	mu      sync.Mutex
	sites   map[ident.Group]*site
	live    []ident.Instance
	leaving map[ident.Endpoint]bool
}

// site is one database group with its keeper and connections.
type site struct {
	group    envdoc.Group
	front    *front.Group
	keeper   *group.Monitor
	controls *controls
	watching *tasks.Group
}

// NewSites returns sites that serve no group yet.
func NewSites(self ident.Instance, env ident.Environment, creds back.Credentials, events *event.Log, peers peer.Sender, reigns store.TermRecords, table *front.Table, newLine NewLine) *Sites {
	return &Sites{
		self:    self,
		env:     env,
		creds:   creds,
		events:  events,
		peers:   peers,
		reigns:  reigns,
		table:   table,
		newLine: newLine,
		closing: tasks.New(context.Background()),
		sites:   make(map[ident.Group]*site),
		live:    []ident.Instance{self},
	}
}

// Apply puts the groups and routes of a document in force. Requests that run
// keep what they hold.
func (s *Sites) Apply(doc *envdoc.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[ident.Group]*site, len(doc.Groups))
	for _, g := range doc.Groups {
		kept[g.Name] = s.update(s.sites[g.Name], g)
	}
	gone := s.sites
	s.sites = kept
	s.table.Set(s.routes(doc))
	for name, old := range gone {
		if kept[name] == nil {
			s.retire(old)
		}
	}
	s.tell()
}

func (s *Sites) routes(doc *envdoc.Document) []*front.Route {
	routes := make([]*front.Route, 0, len(doc.Routes))
	for _, r := range doc.Routes {
		routes = append(routes, &front.Route{Route: r, Group: s.sites[r.Group].front})
	}
	return routes
}

// update returns the site for g, made from old where there is one.
func (s *Sites) update(old *site, g envdoc.Group) *site {
	if old == nil {
		return s.open(g)
	}
	old.controls.set(g)
	pools := make(map[ident.Endpoint]*back.Pool, len(g.Endpoints))
	for _, e := range g.Endpoints {
		if was := old.endpoint(e.Name); was != nil && was.Address == e.Address {
			pools[e.Name] = old.front.Pools[e.Name]
			continue
		}
		pools[e.Name] = s.newPool(e)
	}
	replaced := old.front.Pools
	fresh := *old.front
	fresh.Pools = pools
	old.front, old.group = &fresh, g
	old.keeper.SetDocument(g)
	s.closing.Go(func(context.Context) error { return closePools(replaced, pools) })
	return old
}

func (s *site) endpoint(name ident.Endpoint) *envdoc.Endpoint {
	for i := range s.group.Endpoints {
		if s.group.Endpoints[i].Name == name {
			return &s.group.Endpoints[i]
		}
	}
	return nil
}

func (s *Sites) open(g envdoc.Group) *site {
	c := newControls(s.creds)
	c.set(g)
	keeper := group.NewMonitor(s.self, g, c.server,
		group.WithEvents(s.events),
		group.WithPeers(s.peers),
		group.WithPromoted(func(term ident.Term, primary ident.Endpoint) { s.record(g.Name, term, primary) }),
	)
	pools := make(map[ident.Endpoint]*back.Pool, len(g.Endpoints))
	for _, e := range g.Endpoints {
		pools[e.Name] = s.newPool(e)
	}
	confirmer := back.NewConfirmer(func(term ident.Term) group.Server {
		v := keeper.View()
		if v.Term != term || v.Primary == group.NoEndpoint {
			return nil
		}
		return c.server(v.PrimaryName())
	})
	t := &site{
		group:    g,
		front:    &front.Group{Name: g.Name, Monitor: keeper, Pools: pools, Confirmer: confirmer},
		keeper:   keeper,
		controls: c,
		watching: tasks.New(context.Background()),
	}
	t.watching.Go(func(ctx context.Context) error { return s.watch(ctx, t) })
	return t
}

func (s *Sites) newPool(e envdoc.Endpoint) *back.Pool {
	return back.NewPool(e, s.creds, share(e, len(s.live)), s.newLine())
}

// share is how many connections to an endpoint one of several instances may
// hold. One for each instance is left for control.
func share(e envdoc.Endpoint, instances int) int {
	instances = max(1, instances)
	return max(1, (e.Connections-instances)/instances)
}

// record keeps a promotion in the table service, for operators.
func (s *Sites) record(name ident.Group, term ident.Term, primary ident.Endpoint) {
	s.closing.Go(func(ctx context.Context) error {
		reign := store.TermRecord{Group: name, Term: term, Primary: primary, PromotedBy: s.self}
		if err := s.reigns.Record(ctx, s.env, reign); err != nil {
			klog.InfoS("Promotion not recorded", "group", name, "err", err)
		}
		return nil
	})
}

// SetLive takes the instances that are live, this one included.
func (s *Sites) SetLive(live []ident.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live = live
	for _, t := range s.sites {
		for _, e := range t.group.Endpoints {
			t.front.Pools[e.Name].SetLimit(share(e, len(live)))
		}
	}
	s.tell()
}

// SetLeaving takes the endpoints that the platform lists as leaving.
func (s *Sites) SetLeaving(leaving map[ident.Endpoint]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
	s.tell()
}

// tell gives every keeper its rank and its leaving endpoints.
func (s *Sites) tell() {
	for name, t := range s.sites {
		t.keeper.SetRank(fleet.RankOf(string(name), s.live, s.self), len(s.live))
		var leaving []ident.Endpoint
		for _, e := range t.group.Endpoints {
			if s.leaving[e.Name] {
				leaving = append(leaving, e.Name)
			}
		}
		t.keeper.SetLeaving(leaving)
	}
}

// Receive takes the state of a group as a peer knows it.
func (s *Sites) Receive(_ ident.Instance, state peer.GroupState, now time.Time) {
	s.mu.Lock()
	t := s.sites[state.Group]
	s.mu.Unlock()
	if t != nil {
		t.keeper.Receive(state, now)
	}
}

// Views returns a snapshot of every group.
func (s *Sites) Views() []*group.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	views := make([]*group.View, 0, len(s.sites))
	for _, t := range s.sites {
		views = append(views, t.keeper.View())
	}
	return views
}

// CloseIdle closes control connections that were last used before the given
// time, as connections are scarce.
func (s *Sites) CloseIdle(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.sites {
		t.controls.closeIdle(before)
	}
}

// Close ends every site and waits.
func (s *Sites) Close() error {
	s.mu.Lock()
	sites := s.sites
	s.sites = nil
	s.mu.Unlock()
	for _, t := range sites {
		s.retire(t)
	}
	return s.closing.Close()
}

// retire ends a site in the background.
func (s *Sites) retire(t *site) {
	s.closing.Go(func(context.Context) error { return t.close() })
}

func (s *site) close() error {
	err := errors.Wrap(s.watching.Close(), "close watch")
	err = errors.CombineErrors(err, errors.Wrap(s.keeper.Close(), "close keeper"))
	err = errors.CombineErrors(err, errors.Wrap(s.front.Confirmer.Close(), "close confirmer"))
	err = errors.CombineErrors(err, closePools(s.front.Pools, nil))
	return errors.CombineErrors(err, s.controls.close())
}

// closePools closes the pools that kept does not hold as well.
func closePools(pools, kept map[ident.Endpoint]*back.Pool) error {
	var g errgroup.Group
	for name, p := range pools {
		if kept[name] != p {
			g.Go(p.Close)
		}
	}
	return g.Wait()
}

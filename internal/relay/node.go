package relay

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/evac"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/fetch"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/quota"
	"github.com/marjoramrudder/marjoramrudder/internal/roster"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/spread"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// pingInterval and pingTimeout determine how soon a hanging peer is
	// detected: within their sum, which is about half of the shortest statement
	// timeout.
	pingInterval = 200 * time.Millisecond
	pingTimeout  = 400 * time.Millisecond
	// minLinkBackoff and maxLinkBackoff limit the pause between two dials of a
	// peer.
	minLinkBackoff = 50 * time.Millisecond
	maxLinkBackoff = 500 * time.Millisecond
	// linkQueue is how many messages may wait for one peer.
	linkQueue = 4096
	// logCapacity is the number of records in the event log.
	logCapacity = 512
)

// Decoder decodes the text of a configuration.
type Decoder func(text []byte) (*engine.Catalog, error)

// NodeConfig is the configuration of a Node.
type NodeConfig struct {
	Self roster.Member
	// Seeds are addresses of instances that may exist. An instance that knows
	// no other one connects to them.
	Seeds       []string
	Environment ident.Environment
	Secret      string
	Listener    net.Listener
	// Connect opens connections to other instances; nil selects the default
	// dialer.
	Connect func(ctx context.Context, network, address string) (net.Conn, error)
	Dialer  Dialer
	Decode  Decoder
	// DrainTime is how long a draining endpoint may be used.
	DrainTime time.Duration
	// EvacuationTime is how long an endpoint may be used after its data centre
	// was evacuated. Zero means that evacuations are ignored.
	EvacuationTime time.Duration
	// ColdLimits is set if the rate of cold endpoints is limited.
	ColdLimits bool
	// Overshoot is what may run beyond an account's quota.
	Overshoot quota.Overshoot
	// ConfigTime is the time within which a configuration has to be in force, zero
	// for defaultConfigTime.
	ConfigTime   time.Duration
	Promoter     Promoter
	DecodeReport ReportDecoder
}

// Node is one instance of the proxy with its sessions, its links to other
// instances and the groups that it owns.
type Node struct {
	config  NodeConfig
	tasks   *tasks.Group
	catalog atomic.Pointer[engine.Catalog]
	view    atomic.Pointer[view]
	front   *Front
	router  *Router
	limiter *limiter
	mesh    *peer.Mesh

	// directoryMu and assignMu serialise the updates of the directory and the
	// assignments of groups, so that an older one never overwrites a newer one.
	directoryMu sync.Mutex
	assignMu    sync.Mutex
	planMu      sync.Mutex // serialises changes of the planned links
	mu          sync.Mutex
	roster      *roster.Roster
	runners     map[ident.Group]*groupRunner
	unreachable map[ident.Group]bool
	unlisted    unlisted // instances that are missing from the list of members
	peersKnown  bool     // the list of members or a heartbeat has been received
	departures  *roster.Departures
	// missingSince is since when this instance is missing from the list of
	// members, zero while it is not.
	missingSince time.Time
	// configFetch, directoryFetch and memberFetch decide when to request a newer
	// version from other instances.
	configFetch      *fetch.Document
	directoryFetch   fetch.Fetcher[ident.Revision]
	memberFetch      fetch.Fetcher[ident.Revision]
	memberRevision   ident.Revision // of the list of members
	listed           []roster.Member
	storeState       roster.StoreState
	directoryEntries []sched.DirectoryEntry
	revision         ident.Revision // of directoryEntries
	endpoints        map[ident.Group][]sched.Endpoint
	locations        *roster.PreferredLocations
	configHistory    fetch.History
	directoryLoaded  bool // a directory has been received
	serving          bool
	leaving          bool
	evacuationMu     sync.Mutex // serialises the updates of the evacuations
	evacuations      evacuationList
	dataCentres      *evac.Tracker
}

// NewNode returns a node that has not started.
func NewNode(ctx context.Context, c NodeConfig) (*Node, error) {
	n := &Node{
		locations: roster.NewPreferredLocations(),
		config:    c, tasks: tasks.New(ctx), roster: roster.New(c.Self),
		runners: make(map[ident.Group]*groupRunner), unreachable: make(map[ident.Group]bool), endpoints: make(map[ident.Group][]sched.Endpoint),
		unlisted: make(unlisted), departures: roster.NewDepartures(),
		evacuations: evacuationList{enabled: c.EvacuationTime > 0, returns: make(returns)}, dataCentres: evac.New(),
	}
	n.configFetch = fetch.NewDocument(cmp.Or(c.ConfigTime, defaultConfigTime), spread.Of(string(c.Self.Instance)))
	n.catalog.Store(emptyCatalog())
	n.publish()
	self := ident.Process{Instance: c.Self.Instance, Incarnation: ident.NewIncarnation()}
	n.router = NewRouter(n.tasks.Context(), self, n)
	n.limiter = newLimiter(c.Self.Instance, n, c.Overshoot, n.quotaOf)
	n.front = NewFront(n.router, n.limiter, &n.catalog)
	hello := peer.Hello{Instance: c.Self.Instance, Environment: c.Environment, Start: self.Incarnation}
	log := event.NewLog(c.Self.Instance, logCapacity)
	mesh, err := peer.NewMesh(hello, c.Listener, c.Secret, n.handlers(), log,
		peer.WithPing(pingInterval, pingTimeout), peer.WithQueue(linkQueue),
		peer.WithBackoff(minLinkBackoff, maxLinkBackoff), peer.WithLinkObserver(n.linkChanged),
		peer.WithDialObserver(n.peerUnreachable), peer.WithFleetSize(n.fleetSize), peer.WithDialer(c.Connect))
	if err != nil {
		return nil, errors.Wrap(err, "open links")
	}
	n.mesh = mesh
	n.router.SetSender(mesh)
	n.limiter.sender = mesh
	return n, nil
}

func emptyCatalog() *engine.Catalog {
	c := &engine.Catalog{}
	c.BuildKeyIndex()
	return c
}

// Start starts the communication with other instances.
func (n *Node) Start() {
	n.mesh.Start()
	n.mesh.ConnectSeeds(n.config.Seeds)
	n.tasks.Go(n.sendHeartbeats)
	n.tasks.Go(n.tickGroups)
}

// Front returns the front that serves callers.
func (n *Node) Front() *Front { return n.front }

// Close stops the node and waits for its goroutines.
func (n *Node) Close() error {
	err := errors.Wrap(n.mesh.Close(), "close links")
	err = errors.CombineErrors(err, n.tasks.Close())
	err = errors.CombineErrors(err, n.router.Close())
	n.mu.Lock()
	runners := slices.Collect(maps.Values(n.runners))
	n.mu.Unlock()
	for _, r := range runners {
		err = errors.CombineErrors(err, r.Close())
	}
	return err
}

// OpenTransactions returns how many transactions hold a connection of this
// instance.
func (n *Node) OpenTransactions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := 0
	for _, r := range n.runners {
		open += r.pool.OpenTransactions()
	}
	return open
}

// Ready reports whether the instance accepts callers.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.catalog.Load().Version > 0 && n.directoryLoaded && n.evacuations.ready() && !n.leaving
}

// ConfigVersion returns the version of the configuration in force.
func (n *Node) ConfigVersion() ident.Version { return n.catalog.Load().Version }

// LinkCount returns the number of open links to other instances.
func (n *Node) LinkCount() int { return len(n.mesh.Connected()) }

// Leave notifies the other instances that this one is leaving.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.broadcastHeartbeat()
}

// LimitCalls shortens the time of further calls of other instances, so that they
// are done by end.
func (n *Node) LimitCalls(end time.Time) { n.router.inbound.limit(end) }

// RefuseCalls refuses further calls of other instances, also in open
// transactions, so that those that run are answered in time.
func (n *Node) RefuseCalls() { n.router.inbound.refuse() }

// FinishCalls waits until the calls of other instances are answered, until
// shortly after end at most. It has to be called before Close, which closes the
// links that carry the answers.
func (n *Node) FinishCalls(end time.Time) {
	if !n.router.inbound.finish(n.tasks.Context(), max(0, end.Sub(clock.Now()))+answerMargin) {
		trace.Event("CallsUnfinished", "Calls", n.router.inbound.count())
	}
}

// Abandon ends the statements that this instance runs at endpoints. It is called
// when nobody waits for their answers any more.
func (n *Node) Abandon() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.runners {
		r.pool.Abandon()
	}
}

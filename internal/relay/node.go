package relay

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/lead"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/quota"
	"github.com/marjoramrudder/marjoramrudder/internal/roster"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// linkInterval and linkTimeout bound the time until a peer that hangs is
	// given up: their sum, about half of the shortest statement timeout.
	linkInterval = 200 * time.Millisecond
	linkTimeout  = 400 * time.Millisecond
	// linkBackoff bounds the pause between two dials of a peer.
	linkBackoffLeast = 50 * time.Millisecond
	linkBackoffMost  = 500 * time.Millisecond
	// linkQueue is how many messages may wait for one peer.
	linkQueue = 4096
	// logCapacity is how many records the time line keeps.
	logCapacity = 512
)

// Decoder decodes the text of a configuration.
type Decoder func(text []byte) (*engine.Catalog, error)

// NodeConfig is what a Node needs to know.
type NodeConfig struct {
	Self roster.Member
	// Seeds are addresses of instances that may exist, for an instance that
	// knows no other.
	Seeds       []string
	Environment ident.Environment
	Secret      string
	Listener    net.Listener
	// Connect opens connections to other instances; nil is the usual way.
	Connect func(ctx context.Context, network, address string) (net.Conn, error)
	Dialer  Dialer
	Decode  Decoder
	// DrainTime is how long a draining endpoint may be used.
	DrainTime time.Duration
	// Overshoot is what may run beyond an account's quota.
	Overshoot    quota.Overshoot
	Control      Promoter
	DecodeReport ReportDecoder
}

// Node is one instance: its sessions, its links, and the groups it serves.
type Node struct {
	config  NodeConfig
	tasks   *tasks.Group
	catalog atomic.Pointer[engine.Catalog]
	view    atomic.Pointer[view]
	front   *Front
	router  *Router
	gate    *gate
	mesh    *peer.Mesh

	// directing and assigning let one directory, or assignment of groups, follow
	// the other, so that none is overtaken by an older one.
	directing sync.Mutex
	assigning sync.Mutex
	mu        sync.Mutex
	roster    *roster.Roster
	keepers   map[ident.Group]*keeper
	unfit     map[ident.Group]bool
	fresh     []roster.Member // that the others may not know
	met       bool            // the others that exist were heard of
	// configFetch and directoryFetch decide when to ask others for them.
	configFetch    fetch[ident.Version]
	directoryFetch fetch[ident.Revision]
	listings       []sched.Listing
	revision       ident.Revision // of listings
	entries        map[ident.Group][]sched.Endpoint
	places         *roster.PreferredLocations
	text           []byte // of the configuration in force
	loaded         bool   // a directory was seen
	serving        bool
	leaving        bool
}

// NewNode returns a node that has not started.
func NewNode(ctx context.Context, c NodeConfig) (*Node, error) {
	n := &Node{
		places: roster.NewPreferredLocations(),
		config: c, tasks: tasks.New(ctx), roster: roster.New(c.Self),
		keepers: make(map[ident.Group]*keeper), unfit: make(map[ident.Group]bool), entries: make(map[ident.Group][]sched.Endpoint),
	}
	n.catalog.Store(emptyCatalog())
	n.publish()
	n.router = NewRouter(n.tasks.Context(), c.Self.Instance, n)
	n.gate = newGate(c.Self.Instance, n, c.Overshoot, n.quotaOf)
	n.front = NewFront(n.router, n.gate, &n.catalog)
	hello := peer.Hello{Instance: c.Self.Instance, Environment: c.Environment, Start: uint64(c.Self.Start)}
	log := event.NewLog(c.Self.Instance, logCapacity)
	mesh, err := peer.NewMesh(hello, c.Listener, c.Secret, n.handlers(), log,
		peer.WithPing(linkInterval, linkTimeout), peer.WithQueue(linkQueue),
		peer.WithBackoff(linkBackoffLeast, linkBackoffMost), peer.WithLinkObserver(n.connected), peer.WithDialer(c.Connect))
	if err != nil {
		return nil, errors.Wrap(err, "open links")
	}
	n.mesh = mesh
	n.router.SetSender(mesh)
	n.gate.link = mesh
	return n, nil
}

func emptyCatalog() *engine.Catalog {
	c := &engine.Catalog{}
	c.BuildKeyIndex()
	return c
}

// Start begins to talk to other instances.
func (n *Node) Start() {
	n.mesh.Start()
	n.mesh.Introduce(n.config.Seeds)
	n.tasks.Go(n.pulses)
}

// Front returns where callers are served.
func (n *Node) Front() *Front { return n.front }

// Close ends everything and waits for it.
func (n *Node) Close() error {
	err := errors.Wrap(n.mesh.Close(), "close links")
	err = errors.CombineErrors(err, n.tasks.Close())
	err = errors.CombineErrors(err, n.router.Close())
	n.mu.Lock()
	keepers := slices.Collect(maps.Values(n.keepers))
	n.mu.Unlock()
	for _, k := range keepers {
		err = errors.CombineErrors(err, k.Close())
	}
	return err
}

// OpenTransactions returns how many transactions hold a connection here.
func (n *Node) OpenTransactions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := 0
	for _, k := range n.keepers {
		open += k.home.OpenTransactions()
	}
	return open
}

// Ready reports whether the instance takes callers.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.catalog.Load().Version > 0 && n.loaded && !n.leaving
}

// Leave tells the others that this instance stops, and ends idle sessions.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.pulse()
}

// SetConfig puts a configuration in force if it is newer. Source says where it
// came from, for the log.
func (n *Node) SetConfig(text []byte, source string) {
	c, err := n.config.Decode(text)
	if err != nil {
		trace.Failure("ConfigUnusable", err, "Source", source, "Kept", n.catalog.Load().Version)
		return
	}
	n.mu.Lock()
	old := n.catalog.Load()
	if c.Version <= old.Version {
		n.mu.Unlock()
		return
	}
	n.catalog.Store(c)
	n.configFetch.got(c.Version)
	n.text = text
	n.adopt(c)
	n.mu.Unlock()
	d := c.ChangesFrom(old)
	trace.Event("ConfigInForce", "Version", c.Version, "Before", old.Version, "Source", source, "Routes", len(c.Routes), "Accounts", len(c.Accounts),
		"RoutesAdded", d.RoutesAdded, "RoutesRemoved", d.RoutesRemoved, "RoutesChanged", d.RoutesChanged,
		"KeysAdded", d.KeysAdded, "KeysWithdrawn", d.KeysRevoked, "QuotasChanged", d.QuotasChanged)
	n.pulse()
}

// adopt tells every group its limits. The caller holds the mutex.
func (n *Node) adopt(c *engine.Catalog) {
	for g, limits := range c.Groups {
		k := n.keepers[g]
		if k == nil {
			k = newKeeper(n.tasks.Context(), g, n)
			n.keepers[g] = k
			k.setEndpoints(n.entries[g])
		}
		k.home.Update(sched.Limits{MaxConns: limits.MaxConns, DrainTime: n.config.DrainTime})
		k.home.SetIdleTx(c.IdleTx)
		k.tell(lead.ReplicationRules{SyncReplicas: limits.SyncReplicas})
	}
}

// SetMembers replaces the list of instances that exist.
func (n *Node) SetMembers(all []roster.Member) {
	n.mu.Lock()
	n.met = true
	seen := make(map[ident.Instance]bool)
	for _, m := range all {
		seen[m.Instance] = true
		n.learn(m)
	}
	for _, m := range n.roster.Members() {
		if !seen[m.Instance] && !n.roster.IsConnected(m.Instance) {
			n.roster.Remove(m.Instance)
		}
	}
	n.mu.Unlock()
	n.assign()
	n.dialMembers()
}

func (n *Node) dialMembers() {
	n.mu.Lock()
	var out []store.Member
	for _, m := range n.roster.Members() {
		out = append(out, store.Member{Instance: m.Instance, DataCentre: m.DataCentre, Peer: m.Address})
	}
	n.mu.Unlock()
	n.mesh.SetMembers(out)
}

package peer

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// The kinds of events that a Mesh records.
const (
	PeerConnected event.Kind = "PeerConnected"
	PeerLost      event.Kind = "PeerLost"
	PeerRefused   event.Kind = "PeerRefused"
)

// ErrNoSecret reports that a Mesh was created without a shared secret.
var ErrNoSecret = errors.New("no peer secret")

// errSuperseded reports that the other side's connection is kept.
var errSuperseded = errors.New("another link to the peer is open")

type links map[ident.Instance]*link

// Mesh keeps one connection to each other instance of the environment, or to
// those that SetTargets names. Sending takes no lock.
type Mesh struct {
	self       Hello
	secret     []byte
	listener   net.Listener
	server     *http.Server
	client     *http.Client
	handler    Handler
	log        *event.Log
	options    options
	stats      *stats
	tasks      *tasks.Group
	handshakes chan struct{}

	links       atomic.Pointer[links]
	lastRefusal atomic.Int64 // when a refusal was last recorded, in Unix nanoseconds

	mu          sync.Mutex
	closed      bool
	dialers     map[ident.Instance]*dialer
	activeLinks sync.WaitGroup
}

// NewMesh returns a mesh that accepts peers on listener once it is started. It
// ignores the Stamp of self and takes ownership of the listener. It returns
// ErrNoSecret if secret is empty.
func NewMesh(self Hello, listener net.Listener, secret string, handler Handler, log *event.Log, opts ...Option) (*Mesh, error) {
	if secret == "" {
		return nil, ErrNoSecret
	}
	self.Protocol = ProtocolVersion
	m := &Mesh{
		self:       self,
		secret:     []byte(secret),
		listener:   listener,
		handler:    handler,
		log:        log,
		options:    defaultOptions(),
		stats:      newStats(),
		tasks:      tasks.New(context.Background()),
		handshakes: make(chan struct{}, maxHandshakes),
		dialers:    make(map[ident.Instance]*dialer),
	}
	for _, o := range opts {
		o(&m.options)
	}
	m.links.Store(&links{})
	m.client = newClient(&m.options)
	m.server = newServer(m)
	return m, nil
}

// Start starts accepting peers.
func (m *Mesh) Start() { m.tasks.Go(m.serve) }

// Address returns the address of the listener.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Send implements Sender.
func (m *Mesh) Send(to ident.Instance, message Message) { m.Offer(to, message) }

// Offer is like Send and reports whether the message was queued.
func (m *Mesh) Offer(to ident.Instance, message Message) bool {
	l := (*m.links.Load())[to]
	if l == nil {
		m.stats.dropped.Inc()
		return false
	}
	f, ok := m.encode(message)
	return ok && l.send(f)
}

// Process returns the process that the link to an instance leads to.
func (m *Mesh) Process(of ident.Instance) (ident.Process, bool) {
	l := (*m.links.Load())[of]
	if l == nil {
		return ident.Process{}, false
	}
	return l.peer.Process(), true
}

// Deliver queues a message for one process of an instance, and reports whether it
// was queued. It is dropped if the instance has started again. Messages that refer
// to what the process has said before are sent this way.
func (m *Mesh) Deliver(to ident.Process, message Message) bool {
	l := (*m.links.Load())[to.Instance]
	if l == nil || l.peer.Process() != to {
		m.stats.dropped.Inc()
		return false
	}
	f, ok := m.encode(message)
	return ok && l.send(f)
}

// Broadcast implements Sender.
func (m *Mesh) Broadcast(message Message) {
	f, ok := m.encode(message)
	if !ok {
		return
	}
	for _, l := range *m.links.Load() {
		l.send(f)
	}
}

// Multicast sends a message to several peers.
func (m *Mesh) Multicast(to []ident.Instance, message Message) {
	f, ok := m.encode(message)
	if !ok {
		return
	}
	links := *m.links.Load()
	for _, n := range to {
		if l := links[n]; l != nil {
			l.send(f)
		}
	}
}

// Connected implements Sender. The names are sorted.
func (m *Mesh) Connected() []ident.Instance {
	return slices.Sorted(maps.Keys(*m.links.Load()))
}

// SetMembers sets the known instances and their addresses. The mesh dials those
// with a greater name than its own and stops dialling those that are no longer
// listed.
func (m *Mesh) SetMembers(members []store.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	targets := make([]Target, 0, len(members))
	for _, member := range members {
		if member.Instance > m.self.Instance && member.Peer != "" {
			targets = append(targets, Target{Instance: member.Instance, Address: member.Peer})
		}
	}
	for peer, d := range m.dialers {
		if !slices.ContainsFunc(targets, d.serves) {
			d.cancel()
			delete(m.dialers, peer)
		}
	}
	m.startDialers(targets)
}

// SetTargets sets the instances to which this one keeps links, whether or not
// they know of this instance. A link to an instance that is no longer listed
// stays open until it is lost, because calls may be running on it.
func (m *Mesh) SetTargets(targets []Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	for peer, d := range m.dialers {
		switch {
		case slices.ContainsFunc(targets, d.serves):
			d.retired.Store(false)
		case m.isConnected(peer):
			d.retired.Store(true)
		default:
			d.cancel()
			delete(m.dialers, peer)
		}
	}
	m.startDialers(targets)
}

// startDialers starts the dialers that are missing. The caller holds the mutex.
func (m *Mesh) startDialers(targets []Target) {
	for _, t := range targets {
		if d := m.dialers[t.Instance]; d != nil && d.serves(t) && !d.ended.Load() {
			continue
		}
		if t.Address != "" {
			m.dialers[t.Instance] = m.startDialer(t)
		}
	}
}

// Close sends what is queued, closes every connection and waits for all
// goroutines of the mesh.
func (m *Mesh) Close() error {
	m.mu.Lock()
	m.closed = true
	for _, l := range *m.links.Load() {
		l.finish()
	}
	m.mu.Unlock()
	_ = m.server.Close()
	_ = m.listener.Close() // needed if the server was never started
	err := m.tasks.Close()
	m.activeLinks.Wait()
	m.client.CloseIdleConnections()
	return errors.Wrap(err, "close mesh")
}

// addLink adds a goroutine that runs a link to activeLinks. It returns false if
// the mesh is closed.
func (m *Mesh) addLink() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.activeLinks.Add(1)
	return true
}

// runLink runs an authenticated link until it ends. It replaces an earlier link
// to the same peer.
func (m *Mesh) runLink(l *link) error {
	for {
		old, ok := m.register(l)
		if !ok {
			_ = l.conn.CloseNow()
			return http.ErrServerClosed
		}
		if old == nil {
			break
		}
		if !l.supersedes(old) {
			_ = l.conn.CloseNow()
			return errSuperseded
		}
		old.abort()
	}
	now := time.Now()
	m.log.Observe(l.peer.Stamp, now)
	m.stats.connected.Inc()
	connected := m.log.Emit(now, PeerConnected, event.Subject{Peer: l.peer.Instance}, event.Ref{}, "")
	klog.V(1).InfoS("Peer connected", "peer", l.peer.Instance)
	m.options.onLinkChange(l.peer.Process(), true, LinkEnd{})
	err := l.run()
	m.unregister(l)
	m.options.onLinkChange(l.peer.Process(), false, l.end(err))
	m.stats.connected.Dec()
	m.log.Emit(time.Now(), PeerLost, event.Subject{Peer: l.peer.Instance}, connected, err.Error())
	klog.V(1).InfoS("Peer disconnected", "peer", l.peer.Instance, "reason", err)
	close(l.done)
	return err
}

// register stores l as the link of its peer. If there is another link to the
// peer, register returns it, and it has to end first.
func (m *Mesh) register(l *link) (old *link, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, false
	}
	if old = (*m.links.Load())[l.peer.Instance]; old != nil {
		return old, true
	}
	next := maps.Clone(*m.links.Load())
	next[l.peer.Instance] = l
	m.links.Store(&next)
	return nil, true
}

func (m *Mesh) unregister(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if (*m.links.Load())[l.peer.Instance] != l {
		return
	}
	next := maps.Clone(*m.links.Load())
	delete(next, l.peer.Instance)
	m.links.Store(&next)
}

func (m *Mesh) encode(message Message) (frame, bool) {
	bytes, err := Encode(message)
	if err != nil {
		m.stats.dropped.Inc()
		klog.ErrorS(err, "Failed to encode message")
		return frame{}, false
	}
	return frame{kind: KindOf(message), bytes: bytes}, true
}

func (m *Mesh) newHello() Hello {
	h := m.self
	h.Stamp = m.log.Now(time.Now())
	return h
}

func (m *Mesh) newLink(peer Hello, dialer ident.Instance, c *websocket.Conn) *link {
	peers := func() int { return max(len(*m.links.Load()), m.options.fleetSize()) }
	return newLink(peer, dialer, c, &m.options, m.stats, peers, func(message Message) {
		now := time.Now()
		if s := stampOf(message); s != (event.Stamp{}) {
			m.log.Observe(s, now)
		}
		m.handler.Receive(peer.Process(), message, now)
	})
}

// Package emul emulates the users' platform for tests and experiments: the
// database servers behind the line protocol, with slots, connection limits,
// replicated logs, lag, seals and promotions; the row store; and the promotion
// call. It follows the published protocol and can inject faults. Servers work
// on any net.Conn, so that tests can run on virtual time.
package emul

import (
	"slices"
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/audit"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// GroupConfig configures a database group.
type GroupConfig struct {
	Name     ident.Group
	Servers  int
	Slots    int
	MaxConns int
	// Sync is how many replicas must receive a commit before it is acknowledged.
	Sync int
	// Work is how long a statement occupies a slot, Lag the delay until a replica
	// applies an entry that it received, PromoteTime the duration of a promotion.
	Work        time.Duration
	Lag         time.Duration
	PromoteTime time.Duration
	// DataCentres are where the servers are, in turn. Without any, the caller of
	// Server.Entry decides.
	DataCentres []ident.DataCentre
	// ColdRate is how many statements a second a server may receive while it is
	// cold, ColdTime how long it is cold after a restart. Zero means no limit.
	ColdRate float64
	ColdTime time.Duration
	// Record receives each statement that the servers answer, unless it is nil.
	Record *audit.Record
}

// Entry is one write in a server's log.
type Entry struct {
	Position  ident.LogPosition
	Item      string
	Data      string
	appliedAt time.Time // when a replica applies it
	request   string    // of the statement that wrote it
}

// Group is a primary and its replicas.
type Group struct {
	config GroupConfig

	mu        sync.Mutex
	servers   map[ident.Endpoint]*Server
	ids       []ident.Endpoint
	term      ident.Term
	changed   chan struct{} // closed and replaced on each change
	acked     []Entry
	promoting sync.WaitGroup
	serving   sync.WaitGroup
	lost      []Entry // acknowledged, but missing on a later primary
}

// NewGroup returns a group whose first server is the primary of term 1.
func NewGroup(c GroupConfig) *Group {
	g := &Group{config: c, servers: make(map[ident.Endpoint]*Server), term: 1, changed: make(chan struct{})}
	for i := range c.Servers {
		id := ident.Endpoint(string(c.Name) + "-" + string(rune('a'+i)))
		g.servers[id] = &Server{id: id, group: g, isPrimary: i == 0, term: 1, slots: make(chan struct{}, c.Slots)}
		if n := len(c.DataCentres); n > 0 {
			g.servers[id].dataCentre = c.DataCentres[i%n]
		}
		g.ids = append(g.ids, id)
	}
	return g
}

// Name returns the group's name.
func (g *Group) Name() ident.Group { return g.config.Name }

// Server returns the server with index i, from 0.
func (g *Group) Server(i int) *Server { return g.servers[g.ids[i]] }

// Servers returns all servers in the order of their names.
func (g *Group) Servers() []*Server {
	var out []*Server
	for _, id := range g.ids {
		out = append(out, g.servers[id])
	}
	return out
}

// Has reports whether a server belongs to the group.
func (g *Group) Has(id ident.Endpoint) bool { return g.servers[id] != nil }

// Primary returns the current primary, or nil if it is down.
func (g *Group) Primary() *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.isPrimary && !s.down {
			return s
		}
	}
	return nil
}

// Lost returns the acknowledged commits that were dropped by a promotion.
func (g *Group) Lost() []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Entry(nil), g.lost...)
}

// Acked returns how many commits were acknowledged.
func (g *Group) Acked() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.acked)
}

// broadcast wakes every goroutine that waits for a change. The caller holds the
// mutex.
func (g *Group) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Close closes all connections and waits for their handlers and for promotions
// in progress.
func (g *Group) Close() {
	g.promoting.Wait()
	for _, s := range g.servers {
		s.SetUnresponsive(false)
		s.Crash()
	}
	g.serving.Wait()
}

// isRunning reports whether a server with that name exists and is up.
func (g *Group) isRunning(id ident.Endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	return s != nil && !s.down
}

// Promote makes a server the primary of the next term after PromoteTime. It
// returns false if the server isn't running.
func (g *Group) Promote(id ident.Endpoint) bool {
	g.mu.Lock()
	s := g.servers[id]
	running := s != nil && !s.down
	isPrimary := running && s.isPrimary
	g.mu.Unlock()
	if !running || isPrimary {
		return running
	}
	time.Sleep(g.config.PromoteTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.makePrimary(s)
	return true
}

// makePrimary makes s the primary of the next term and truncates the other
// servers' logs to its length. The caller holds the mutex.
func (g *Group) makePrimary(s *Server) {
	g.term++
	for _, e := range g.acked {
		if !s.hasEntry(e.Position) {
			g.lost = append(g.lost, e)
		}
	}
	for _, o := range g.servers {
		o.isPrimary, o.sealedTerm = false, 0
		if o != s && len(o.log) > len(s.log) {
			o.log = o.log[:len(s.log)]
		}
	}
	s.isPrimary, s.term = true, g.term
	g.replicate(s)
	g.broadcast()
}

// replicate copies the primary's log to the reachable replicas and returns how
// many have all of it. The caller holds the mutex.
func (g *Group) replicate(primary *Server) int {
	replicas := 0
	now := time.Now()
	for _, s := range g.servers {
		if s == primary || s.down || s.replicationCut || s.isolated || primary.isolated || s.sealedTerm > primary.term {
			continue
		}
		s.term = primary.term
		for i := len(s.log); i < len(primary.log); i++ {
			e := primary.log[i]
			e.appliedAt = now.Add(g.config.Lag + s.lag)
			s.log = append(s.log, e)
		}
		replicas++
	}
	return replicas
}

// commit appends entries to the primary's log and waits until enough replicas
// have them. It returns the entries, and false if the server is demoted or stops
// meanwhile.
func (g *Group) commit(s *Server, writes []Entry) ([]Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.isPrimary || s.down {
		return nil, false
	}
	for _, e := range writes {
		e.Position = ident.LogPosition{Term: s.term, Position: ident.Position(len(s.log) + 1)}
		s.log = append(s.log, e)
	}
	end := len(s.log)
	for {
		if !s.isPrimary || s.down {
			return nil, false
		}
		if g.replicate(s) >= g.config.Sync {
			committed := slices.Clone(s.log[end-len(writes) : end])
			g.acked = append(g.acked, committed...)
			return committed, true
		}
		changed := g.changed
		g.mu.Unlock()
		<-changed
		g.mu.Lock()
	}
}

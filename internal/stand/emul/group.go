// Package emul stands in for the users' platform in tests and experiments: the
// database servers behind the line protocol, with slots, connections, logs,
// lag, seals and promotions; the store of rows; and the promotion call. It
// keeps to the published protocol and can be made to fail. Servers work on any
// net.Conn, so that tests run on virtual time.
package emul

import (
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// GroupConfig shapes a database group.
type GroupConfig struct {
	Name     ident.Group
	Servers  int
	Slots    int
	MaxConns int
	// Sync is how many replicas hold a commit before it is acknowledged.
	Sync int
	// Work is the time of a statement in a slot, Lag the time until a replica
	// applies what it received, PromoteTime that of a promotion.
	Work        time.Duration
	Lag         time.Duration
	PromoteTime time.Duration
}

// Entry is one commit of a log.
type Entry struct {
	Mark ident.LogPosition
	Item string
	Data string
	at   time.Time // when a replica has applied it
}

// Group is a primary and its replicas.
type Group struct {
	config GroupConfig

	mu        sync.Mutex
	servers   map[ident.Endpoint]*Server
	order     []ident.Endpoint
	term      ident.Term
	changed   chan struct{} // closed and replaced upon each change
	acked     []Entry
	promoting sync.WaitGroup
	serving   sync.WaitGroup
	lost      []Entry // acknowledged, and missing at a later primary
}

// NewGroup returns a group whose first server leads term 1.
func NewGroup(c GroupConfig) *Group {
	g := &Group{config: c, servers: make(map[ident.Endpoint]*Server), term: 1, changed: make(chan struct{})}
	for i := range c.Servers {
		id := ident.Endpoint(string(c.Name) + "-" + string(rune('a'+i)))
		g.servers[id] = &Server{id: id, group: g, leads: i == 0, term: 1, slots: make(chan struct{}, c.Slots)}
		g.order = append(g.order, id)
	}
	return g
}

// Name returns the group's name.
func (g *Group) Name() ident.Group { return g.config.Name }

// Server returns a server by its place, from 0.
func (g *Group) Server(i int) *Server { return g.servers[g.order[i]] }

// Servers returns all servers in order.
func (g *Group) Servers() []*Server {
	var out []*Server
	for _, id := range g.order {
		out = append(out, g.servers[id])
	}
	return out
}

// Primary returns the present primary, nil if it is down.
func (g *Group) Primary() *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.leads && !s.down {
			return s
		}
	}
	return nil
}

// Lost returns the acknowledged commits that a promotion has dropped.
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

// signal wakes everyone who waits for a change. The caller holds the mutex.
func (g *Group) signal() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Close ends all connections and waits for them and for the promotions that
// are under way.
func (g *Group) Close() {
	g.promoting.Wait()
	for _, s := range g.servers {
		s.SetUnresponsive(false)
		s.Crash()
	}
	g.serving.Wait()
}

// running reports whether a server of that name runs.
func (g *Group) running(id ident.Endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	return s != nil && !s.down
}

// Promote makes a server the primary of the next term after PromoteTime. It
// reports false when the server does not run.
func (g *Group) Promote(id ident.Endpoint) bool {
	g.mu.Lock()
	s := g.servers[id]
	running := s != nil && !s.down
	leads := running && s.leads
	g.mu.Unlock()
	if !running || leads {
		return running
	}
	time.Sleep(g.config.PromoteTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lead(s)
	return true
}

// lead makes s the primary with the log that it has. The caller holds the
// mutex.
func (g *Group) lead(s *Server) {
	g.term++
	for _, e := range g.acked {
		if !s.holds(e.Mark) {
			g.lost = append(g.lost, e)
		}
	}
	for _, o := range g.servers {
		o.leads, o.held = false, 0
		if o != s && len(o.log) > len(s.log) {
			o.log = o.log[:len(s.log)]
		}
	}
	s.leads, s.term = true, g.term
	g.replicate(s)
	g.signal()
}

// replicate sends the primary's log to the replicas that receive. It returns
// how many hold all of it. The caller holds the mutex.
func (g *Group) replicate(leader *Server) int {
	holders := 0
	now := time.Now()
	for _, s := range g.servers {
		if s == leader || s.down || s.deaf || s.cut || leader.cut || s.held > leader.term {
			continue
		}
		s.term = leader.term
		for i := len(s.log); i < len(leader.log); i++ {
			e := leader.log[i]
			e.at = now.Add(g.config.Lag + s.lag)
			s.log = append(s.log, e)
		}
		holders++
	}
	return holders
}

// commit appends entries at the primary and waits until enough replicas hold
// them. It reports false when the server lost its lead or stopped meanwhile.
func (g *Group) commit(s *Server, writes []Entry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.leads || s.down {
		return false
	}
	for _, e := range writes {
		e.Mark = ident.LogPosition{Term: s.term, Position: ident.Position(len(s.log) + 1)}
		s.log = append(s.log, e)
	}
	end := len(s.log)
	for {
		if !s.leads || s.down {
			return false
		}
		if g.replicate(s) >= g.config.Sync {
			g.acked = append(g.acked, s.log[end-len(writes):end]...)
			return true
		}
		changed := g.changed
		g.mu.Unlock()
		<-changed
		g.mu.Lock()
	}
}

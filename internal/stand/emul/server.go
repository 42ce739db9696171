package emul

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Server is one database server. Its group's mutex guards it.
type Server struct {
	id    ident.Endpoint
	group *Group
	slots chan struct{}

	leads    bool
	term     ident.Term
	held     ident.Term // sealed with
	log      []Entry
	down     bool
	dark     bool // answers nothing, closes nothing
	deaf     bool // receives nothing from the primary
	cut      bool // neither sends to nor receives from the others
	draining bool
	lag      time.Duration
	conns    int
	loseNext int // answers of statements that are run and not given
	closers  map[*lineConn]struct{}
	ran      []Run
}

// Run is a statement that a server ran.
type Run struct {
	ID      string
	Text    string
	Account string
}

// ID returns the server's name.
func (s *Server) ID() ident.Endpoint { return s.id }

// Address is where the server is reached on a virtual network.
func (s *Server) Address() string { return string(s.id) + ":1" }

// IsPrimary reports whether the server is the primary.
func (s *Server) IsPrimary() bool { return s.get(func() bool { return s.leads }) }

// Draining reports whether the server says that it is leaving.
func (s *Server) Draining() bool { return s.get(func() bool { return s.draining }) }

// Runs returns the statements that the server ran.
func (s *Server) Runs() []Run {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return append([]Run(nil), s.ran...)
}

// Crash stops the server at once and closes its connections.
func (s *Server) Crash() {
	s.set(func() {
		s.down = true
		for c := range s.closers {
			_ = c.conn.Close()
		}
	})
}

// Restart brings a crashed server back with its log, as a replica if another
// one leads.
func (s *Server) Restart() {
	s.set(func() {
		s.down, s.dark = false, false
		s.leads = s.leads && s.term == s.group.term
		s.held = 0
	})
}

// SetUnresponsive makes the server answer nothing.
func (s *Server) SetUnresponsive(dark bool) { s.set(func() { s.dark = dark }) }

// SetReplicationCut makes the server receive nothing from the primary.
func (s *Server) SetReplicationCut(deaf bool) { s.set(func() { s.deaf = deaf }) }

// SetIsolated separates the server from the others of its group.
func (s *Server) SetIsolated(cut bool) { s.set(func() { s.cut = cut }) }

// SetLag adds to the time until the server applies what it received.
func (s *Server) SetLag(lag time.Duration) { s.set(func() { s.lag = lag }) }

// Drain makes the server say that it is leaving.
func (s *Server) Drain() { s.set(func() { s.draining = true }) }

// LoseAnswers makes the server run the next n statements without an answer.
func (s *Server) LoseAnswers(n int) { s.set(func() { s.loseNext = n }) }

func (s *Server) set(change func()) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	change()
	for _, l := range s.group.servers {
		if l.leads && !l.down {
			s.group.replicate(l)
		}
	}
	s.group.signal()
}

func (s *Server) get(read func() bool) bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return read()
}

// holds reports whether the log has an entry. The group's mutex is held.
func (s *Server) holds(m ident.LogPosition) bool {
	i := int(m.Position) - 1
	return i < len(s.log) && s.log[i].Mark == m
}

// received is the position of the last entry of the log, in the server's term.
// The group's mutex is held.
func (s *Server) received() ident.LogPosition {
	return ident.LogPosition{Term: s.term, Position: ident.Position(len(s.log))}
}

// applied is the position up to which reads see the log. The group's mutex is
// held.
func (s *Server) applied() ident.LogPosition {
	if s.leads {
		return s.received()
	}
	now := time.Now()
	n := len(s.log)
	for n > 0 && s.log[n-1].at.After(now) {
		n--
	}
	return ident.LogPosition{Term: s.term, Position: ident.Position(n)}
}

// read returns the newest applied data of an item. The group's mutex is held.
func (s *Server) read(item string) (string, bool) {
	for i := int(s.applied().Position) - 1; i >= 0; i-- {
		if s.log[i].Item == item {
			return s.log[i].Data, true
		}
	}
	return "", false
}

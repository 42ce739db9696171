package emul

import (
	"maps"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Server is one database server. It is guarded by its group's mutex.
type Server struct {
	id    ident.Endpoint
	group *Group
	slots chan struct{}
	// dataCentre is empty if the group has no data centres.
	dataCentre ident.DataCentre

	isPrimary      bool
	term           ident.Term
	sealedTerm     ident.Term // lower terms are refused; zero if not sealed
	log            []Entry
	starts         int64 // with an empty log, after the first one
	down           bool
	unresponsive   bool // neither answers nor closes connections
	replicationCut bool // receives no log entries from the primary
	isolated       bool // exchanges nothing with the other servers
	draining       bool
	lag            time.Duration
	conns          int
	full           bool // it refuses further connections
	loseNext       int  // number of next statements that run without an answer
	closers        map[*lineConn]struct{}
	ran            []Run
	arrived        map[string]struct{} // IDs of all statements that were received
	arrivals       []Arrival           // if the server is in a data centre
	coldPeriods    []coldPeriod
}

// Run records one execution of a statement.
type Run struct {
	ID      string
	Text    string
	Account string
	// Began and Ended are when the statement got its slot and when it had run.
	Began, Ended time.Time
}

// ID returns the server's name.
func (s *Server) ID() ident.Endpoint { return s.id }

// Address returns the server's address on an in-memory network.
func (s *Server) Address() string { return string(s.id) + ":1" }

// IsPrimary reports whether the server is the primary.
func (s *Server) IsPrimary() bool { return s.get(func() bool { return s.isPrimary }) }

// Draining reports whether the server is draining.
func (s *Server) Draining() bool { return s.get(func() bool { return s.draining }) }

// Runs returns the statements that the server has run.
func (s *Server) Runs() []Run {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return append([]Run(nil), s.ran...)
}

// Received returns the IDs of the statements that the server has received, also
// of those that it has not run.
func (s *Server) Received() []string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return slices.Collect(maps.Keys(s.arrived))
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

// Restart restarts a crashed server with its log. It becomes a replica if
// another server was promoted meanwhile.
func (s *Server) Restart() {
	s.set(func() {
		s.down, s.unresponsive = false, false
		s.isPrimary = s.isPrimary && s.term == s.group.term
		s.sealedTerm = 0
		s.beginCold(true)
	})
}

// RestartEmpty restarts a crashed server under its name, as a replica that knows
// nothing of before.
func (s *Server) RestartEmpty() {
	s.set(func() {
		s.down, s.unresponsive, s.isPrimary = false, false, false
		s.sealedTerm, s.log, s.term = 0, nil, 0
		s.starts++
		s.beginCold(true)
	})
}

// SetUnresponsive makes the server stop or resume answering. Connections stay
// open.
func (s *Server) SetUnresponsive(unresponsive bool) { s.set(func() { s.unresponsive = unresponsive }) }

// SetReplicationCut stops or resumes replication from the primary to the
// server.
func (s *Server) SetReplicationCut(cut bool) { s.set(func() { s.replicationCut = cut }) }

// SetIsolated stops or resumes replication from and to the server.
func (s *Server) SetIsolated(isolated bool) { s.set(func() { s.isolated = isolated }) }

// SetFull makes the server refuse further connections as if it had reached its
// limit.
func (s *Server) SetFull(full bool) { s.set(func() { s.full = full }) }

// SetLag sets the apply lag of the server, in addition to GroupConfig.Lag.
func (s *Server) SetLag(lag time.Duration) { s.set(func() { s.lag = lag }) }

// Drain marks the server as draining.
func (s *Server) Drain() { s.set(func() { s.draining = true }) }

// LoseAnswers makes the server run the next n statements and close the
// connection instead of answering.
func (s *Server) LoseAnswers(n int) { s.set(func() { s.loseNext = n }) }

// receive records that a statement has arrived.
func (s *Server) receive(id string) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.arrived == nil {
		s.arrived = make(map[string]struct{})
	}
	s.arrived[id] = struct{}{}
}

// set applies a change under the group's mutex, resumes replication and wakes
// the goroutines that wait for a change.
func (s *Server) set(change func()) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	change()
	for _, p := range s.group.servers {
		if p.isPrimary && !p.down {
			s.group.replicate(p)
		}
	}
	s.group.broadcast()
}

func (s *Server) get(read func() bool) bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return read()
}

// hasEntry reports whether the log has an entry at a position. The caller holds
// the group's mutex.
func (s *Server) hasEntry(p ident.LogPosition) bool {
	i := int(p.Position) - 1
	return i < len(s.log) && s.log[i].Position == p
}

// received returns the position of the last entry of the log, in the server's
// term. The caller holds the group's mutex.
func (s *Server) received() ident.LogPosition {
	return ident.LogPosition{Term: s.term, Position: ident.Position(len(s.log))}
}

// applied returns the position up to which reads see the log. The caller holds
// the group's mutex.
func (s *Server) applied() ident.LogPosition {
	if s.isPrimary {
		return s.received()
	}
	now := time.Now()
	n := len(s.log)
	for n > 0 && s.log[n-1].appliedAt.After(now) {
		n--
	}
	return ident.LogPosition{Term: s.term, Position: ident.Position(n)}
}

// lastApplied returns the position of the last entry that reads see, in the term in
// which it was written. The caller holds the group's mutex.
func (s *Server) lastApplied() ident.LogPosition {
	n := s.applied().Position
	if n == 0 {
		return ident.LogPosition{}
	}
	return s.log[n-1].Position
}

// read returns the newest applied data of an item. The caller holds the group's
// mutex.
func (s *Server) read(item string) (string, bool) {
	for i := int(s.applied().Position) - 1; i >= 0; i-- {
		if s.log[i].Item == item {
			return s.log[i].Data, true
		}
	}
	return "", false
}

package endpt

import (
	"context"
	"net"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// probeCode opens a connection that asks one question.
	probeCode    = 0x4d525251
	probeTimeout = 100 * time.Millisecond
	// joinWait is how long a new group waits for its last members.
	joinWait = 300 * time.Millisecond
)

// probe asks a peer what it knows; it tells who asks.
type probe struct {
	Name        ident.Endpoint
	Incarnation uint64
}

// probeReply is what a peer knows.
type probeReply struct {
	Name        ident.Endpoint
	Incarnation uint64
	// Met is the first incarnation of the asker that the peer ever heard of.
	Met    uint64
	Term   ident.Term
	Sealed ident.Term
	Leads  bool
	Voting bool
}

// join decides whether the endpoint founds its group with the others or
// replaces a killed process, and begins its work. A peer that met another
// incarnation proves that there was one.
func (s *Server) join(ctx context.Context) error {
	rejoin := s.config.Rejoin
	for start := time.Now(); ctx.Err() == nil && !rejoin; tasks.Pause(ctx, redial) {
		replies := s.probeAll(ctx)
		for _, r := range replies {
			rejoin = rejoin || r.Met != s.node.incarnation
		}
		full := len(replies) == len(s.config.Peers)
		enough := len(replies) >= s.config.majority()-1 && time.Since(start) > joinWait
		if !rejoin && (full || enough) {
			return s.found()
		}
	}
	for ; ctx.Err() == nil; tasks.Pause(ctx, heartbeat) {
		if leader, ok := s.leader(s.probeAll(ctx)); ok {
			return s.follow(leader.Term, s.config.Peers[leader.Name])
		}
	}
	return nil
}

// found begins the first term.
func (s *Server) found() error {
	s.node.found(time.Now())
	if s.config.Primary == s.config.Name {
		return nil
	}
	return s.follow(FirstTerm, s.config.Peers[s.config.Primary])
}

func (n *node) found(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term != 0 { // a promotion was faster
		return
	}
	n.term, n.sealed, n.voting = FirstTerm, FirstTerm, true
	if n.config.Primary == n.config.Name {
		n.lead(FirstTerm, now)
	}
}

// leader returns the primary to follow. A successor has forgotten what its
// predecessor sealed, and learns it from a majority that has forgotten
// nothing, as in the recovery of Liskov and Cowling, "Viewstamped Replication
// Revisited", 2012, section 4.3.
func (s *Server) leader(replies []probeReply) (probeReply, bool) {
	var voters int
	var sealed ident.Term
	for _, r := range replies {
		if r.Voting {
			voters++
			sealed = max(sealed, r.Sealed)
		}
	}
	if voters < s.config.majority() {
		return probeReply{}, false
	}
	for _, r := range replies {
		if r.Leads && r.Term == sealed {
			return r, true
		}
	}
	return probeReply{}, false
}

func (s *Server) probeAll(ctx context.Context) []probeReply {
	var out []probeReply
	for _, a := range s.config.Peers {
		if r, err := s.probe(ctx, a); err == nil {
			out = append(out, r)
		}
	}
	return out
}

func (s *Server) probe(ctx context.Context, address string) (probeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var r probeReply
	c, err := s.dialPeer(ctx, address, probeCode)
	if err != nil {
		return r, err
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	if err := cbor.NewEncoder(c).Encode(probe{s.config.Name, s.node.incarnation}); err != nil {
		return r, errors.Wrap(err, "send probe")
	}
	if err := cbor.NewDecoder(c).Decode(&r); err != nil {
		return r, errors.Wrap(err, "read probe's reply")
	}
	s.faults.frozen.wait(ctx)
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	s.node.meet(r.Name, r.Incarnation)
	return r, nil
}

func (s *Server) answerProbe(ctx context.Context, c net.Conn) error {
	defer func() { _ = c.Close() }()
	s.faults.frozen.wait(ctx)
	if s.faults.group.closed() {
		return errStream
	}
	var p probe
	if err := cbor.NewDecoder(c).Decode(&p); err != nil {
		return errors.Wrap(err, "read probe")
	}
	return errors.Wrap(cbor.NewEncoder(c).Encode(s.node.answer(p)), "answer probe")
}

func (n *node) answer(p probe) probeReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.meet(p.Name, p.Incarnation)
	return probeReply{
		Name: n.config.Name, Incarnation: n.incarnation, Met: n.met[p.Name], Term: n.term, Sealed: n.sealed,
		Leads: n.role == group.PrimaryRole && n.sealed == n.term, Voting: n.voting,
	}
}

// meet remembers the first incarnation of a peer. The mutex is held.
func (n *node) meet(name ident.Endpoint, incarnation uint64) {
	if _, known := n.met[name]; !known {
		n.met[name] = incarnation
	}
}

// enfranchise lets a successor vote that has caught up with what is
// confirmed. The mutex is held.
func (n *node) enfranchise(confirmed ident.Position, now time.Time) {
	if n.log.last().Position >= confirmed && now.Sub(n.started) >= n.config.RejoinQuiet {
		n.voting = true
	}
}

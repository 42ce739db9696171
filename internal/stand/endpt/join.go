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
	// probeCode opens a connection for a single probe.
	probeCode    = 0x4d525251
	probeTimeout = 100 * time.Millisecond
	// bootstrapWait is how long a new group waits for its last members.
	bootstrapWait = 300 * time.Millisecond
)

// probe identifies the endpoint that requests a peer's state.
type probe struct {
	Name        ident.Endpoint
	Incarnation uint64
}

// probeReply is the state of a peer.
type probeReply struct {
	Name        ident.Endpoint
	Incarnation uint64
	// FirstIncarnation is the first incarnation of the requesting endpoint that
	// the peer knows.
	FirstIncarnation uint64 `cbor:"Met"`
	Term             ident.Term
	Sealed           ident.Term
	IsPrimary        bool `cbor:"Leads"`
	Voting           bool
}

// joinGroup decides whether the endpoint bootstraps a new group together with
// the others or replaces a killed process, and then starts it. A peer that
// knows a different incarnation proves that there was an earlier process.
func (s *Server) joinGroup(ctx context.Context) error {
	rejoin := s.config.Rejoin
	for start := time.Now(); ctx.Err() == nil && !rejoin; tasks.Pause(ctx, redialPause) {
		replies := s.probeAll(ctx)
		for _, r := range replies {
			rejoin = rejoin || r.FirstIncarnation != s.node.incarnation
		}
		full := len(replies) == len(s.config.Peers)
		enough := len(replies) >= s.config.majority()-1 && time.Since(start) > bootstrapWait
		if !rejoin && (full || enough) {
			return s.bootstrap()
		}
	}
	for ; ctx.Err() == nil; tasks.Pause(ctx, heartbeatInterval) {
		if primary, ok := s.choosePrimary(s.probeAll(ctx)); ok {
			return s.follow(primary.Term, s.config.Peers[primary.Name])
		}
	}
	return nil
}

// bootstrap starts the first term.
func (s *Server) bootstrap() error {
	s.node.bootstrap(time.Now())
	if s.config.Primary == s.config.Name {
		return nil
	}
	return s.follow(FirstTerm, s.config.Peers[s.config.Primary])
}

func (n *node) bootstrap(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term != 0 { // a promotion came first
		return
	}
	n.term, n.sealed, n.voting = FirstTerm, FirstTerm, true
	if n.config.Primary == n.config.Name {
		n.becomePrimary(FirstTerm, now)
	}
}

// choosePrimary returns the primary to follow. A replacement has lost the terms
// that its predecessor sealed, and learns them from a majority that has lost
// nothing, as in the recovery of Liskov and Cowling, "Viewstamped Replication
// Revisited", 2012, section 4.3.
func (s *Server) choosePrimary(replies []probeReply) (probeReply, bool) {
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
		if r.IsPrimary && r.Term == sealed {
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
	s.node.recordIncarnation(r.Name, r.Incarnation)
	return r, nil
}

func (s *Server) answerProbe(ctx context.Context, c net.Conn) error {
	defer func() { _ = c.Close() }()
	s.faults.frozen.wait(ctx)
	if s.faults.group.isClosed() {
		return errStreamEnded
	}
	var p probe
	if err := cbor.NewDecoder(c).Decode(&p); err != nil {
		return errors.Wrap(err, "read probe")
	}
	return errors.Wrap(cbor.NewEncoder(c).Encode(s.node.probeReply(p)), "answer probe")
}

func (n *node) probeReply(p probe) probeReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordIncarnation(p.Name, p.Incarnation)
	return probeReply{
		Name: n.config.Name, Incarnation: n.incarnation, FirstIncarnation: n.incarnations[p.Name], Term: n.term, Sealed: n.sealed,
		IsPrimary: n.role == group.PrimaryRole && n.sealed == n.term, Voting: n.voting,
	}
}

// recordIncarnation stores the first incarnation of a peer. The mutex is held.
func (n *node) recordIncarnation(name ident.Endpoint, incarnation uint64) {
	if _, known := n.incarnations[name]; !known {
		n.incarnations[name] = incarnation
	}
}

// enableVoting lets a replacement vote once it has caught up with the confirmed
// position. The mutex is held.
func (n *node) enableVoting(confirmed ident.Position, now time.Time) {
	if n.log.last().Position >= confirmed && now.Sub(n.started) >= n.config.RejoinQuiet {
		n.voting = true
	}
}

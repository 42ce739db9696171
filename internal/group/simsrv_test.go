package group

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

type record struct {
	term ident.Term
	id   int
}

// server is an endpoint in memory, with a log that replicas fetch, a term and a
// sealed term.
type server struct {
	host
	sim          *sim
	term         ident.Term
	sealed       ident.Term
	role         Role
	source       *server // the server that a replica fetches from
	log          []record
	confirmed    int
	matches      map[*server]int
	primaryHeard time.Time
	refusesSeal  bool // refuses to seal, like a server that has not caught up since its start
}

func commonPrefix(a, b []record) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func (n *server) isPrimary(term ident.Term) bool {
	return n.role == PrimaryRole && n.term == term && n.sealed <= term
}

func (n *server) last() ident.LogPosition { return lastOf(n.log) }

func lastOf(log []record) ident.LogPosition {
	if len(log) == 0 {
		return ident.LogPosition{}
	}
	return ident.LogPosition{Term: log[len(log)-1].term, Position: ident.Position(len(log))}
}

func (n *server) status() Status {
	st := Status{Term: n.term, Role: n.role, Last: n.last(), Sealed: n.sealed}
	if n.role == PrimaryRole {
		st.Confirmed = ident.Position(n.confirmed)
		return st
	}
	st.PrimaryHeard = n.sim.now.Sub(n.primaryHeard)
	return st
}

func (n *server) seal(term ident.Term) (Status, error) {
	if term <= n.sealed || n.refusesSeal {
		return Status{}, ErrSealed
	}
	n.sealed = term
	return n.status(), nil
}

func (n *server) promote(term ident.Term) (Status, error) {
	s := n.sim
	if term < n.sealed {
		return Status{}, ErrSealed
	}
	if o := s.primaries[term]; o != nil && o != n {
		s.fail("two primaries in term %d: %s and %s", term, o.name, n.name)
	}
	if n.isPrimary(term) {
		return n.status(), nil
	}
	s.primaries[term] = n
	n.sealed, n.term, n.role, n.source, n.confirmed = term, term, PrimaryRole, nil, 0
	n.matches = map[*server]int{}
	n.log = append(n.log[:len(n.log):len(n.log)], record{term: term})
	s.checkPromotion(n)
	return n.status(), nil
}

// checkPromotion checks that the primary of the highest term so far holds all
// acknowledged writes. A late promotion in a lower term may lack writes;
// acknowledge checks that such a primary confirms none.
func (s *sim) checkPromotion(n *server) {
	if s.primary != nil && n.term < s.primaryTerm {
		return
	}
	if held := commonPrefix(n.log, s.acked); held < len(s.acked) {
		s.fail("promotion of %s loses acknowledged writes from %d on", n.name, held)
	}
	s.primary, s.primaryTerm, s.primaryLog = n, n.term, n.log
}

func (n *server) follow(term ident.Term, source *server) error {
	if term < n.sealed || source == n {
		return ErrSealed
	}
	if n.term == term && n.source == source && !n.sim.followRestarts {
		return nil
	}
	n.sealed, n.term, n.role, n.source = term, term, ReplicaRole, source
	n.primaryHeard = n.sim.now
	return nil
}

func (n *server) write(term ident.Term, id int) bool {
	if !n.isPrimary(term) {
		return false
	}
	n.log = append(n.log, record{term: term, id: id})
	return true
}

func (n *server) fetch() {
	p, term, log := n.source, n.term, n.log
	if n.role != ReplicaRole || p == nil || n.sealed > term {
		return
	}
	n.sim.send(&n.host, &p.host, func() { p.serve(n, term, log) })
}

func (n *server) serve(r *server, term ident.Term, log []record) {
	if !n.isPrimary(term) {
		return
	}
	n.matches[r] = max(n.matches[r], commonPrefix(n.log, log))
	n.confirm()
	full := n.log[:len(n.log):len(n.log)]
	n.sim.send(&n.host, &r.host, func() { r.accept(term, full) })
}

func (n *server) accept(term ident.Term, full []record) {
	if n.term != term || n.role != ReplicaRole || n.sealed > term {
		return
	}
	n.primaryHeard = n.sim.now
	if commonPrefix(full, n.log) < len(full) {
		n.log = full
		n.fetch()
	}
}

// confirm raises the confirmed position to the highest one of the current term
// that a majority holds, and checks the writes it acknowledges.
func (n *server) confirm() {
	for k := len(n.log); k > n.confirmed && n.log[k-1].term == n.term; k-- {
		holders := 1
		for _, m := range n.matches {
			if m >= k {
				holders++
			}
		}
		if holders > len(n.sim.servers)/2 {
			n.confirmed = k
			n.sim.acknowledge(n, n.log[:k])
			return
		}
	}
}

func (s *sim) acknowledge(n *server, log []record) {
	if commonPrefix(log, s.acked) < min(len(log), len(s.acked)) {
		s.fail("%s confirms a log that conflicts with acknowledged writes", n.name)
	}
	if n.term < s.primaryTerm && commonPrefix(log, s.primaryLog) < len(log) {
		s.fail("old primary %s confirms in term %d", n.name, n.term)
	}
	if len(log) > len(s.acked) {
		s.acked = log[:len(log):len(log)]
		s.gap, s.ackedAt = max(s.gap, s.now.Sub(s.ackedAt)), s.now
	}
}

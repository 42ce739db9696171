package endpt

import (
	"context"
	"math"

	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// node is the endpoint's part in its group: the log, the tables that it made,
// and the terms. One mutex guards it; nothing waits while it is held.
type node struct {
	config Config

	mu      sync.Mutex
	log     history
	db      *tables
	applied ident.Position
	term    ident.Term
	sealed  ident.Term
	role    group.Role
	// synced says that a replica's log is a prefix of its primary's.
	synced bool
	// voting says that the endpoint may acknowledge and seal. One that starts
	// may not before it knows whether it replaces a killed process, and one
	// that does may not before it has caught up.
	voting      bool
	incarnation uint64
	met         map[ident.Endpoint]uint64 // first incarnation heard of each peer
	started     time.Time
	termStart   ident.Position // of the own term, on a primary
	confirmed   ident.Position
	acks        map[ident.Endpoint]ack
	heard       time.Time // when a replica last heard its primary
	asOf        int64     // the primary's time up to which the log is complete
	serial      int64
	changed     chan struct{} // closed and replaced when the log or a role changes
	source      string        // address of the primary that a replica follows
	unfollow    context.CancelFunc
}

// ack is what a primary knows about one replica.
type ack struct {
	position ident.Position
	sent     time.Time // when the primary sent what was acknowledged last
}

func newNode(c Config, now time.Time) *node {
	n := &node{
		config: c, db: newTables(), role: group.ReplicaRole, heard: now, asOf: now.UnixNano(),
		acks: map[ident.Endpoint]ack{}, changed: make(chan struct{}), unfollow: func() {},
		incarnation: rand.Uint64(), met: map[ident.Endpoint]uint64{}, started: now,
	}
	return n
}

// signal wakes everyone who waits for a change. The mutex is held.
func (n *node) signal() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// stopFollowing ends the stream of a replica. The mutex is held.
func (n *node) stopFollowing() {
	n.unfollow()
	n.source = ""
}

// lead makes the node the primary of term. The term begins with a record of
// its own, and nothing is confirmed in it before that record is: Raft, section
// 5.4.2. The mutex is held.
func (n *node) lead(term ident.Term, now time.Time) {
	n.stopFollowing()
	n.role, n.term, n.synced = group.PrimaryRole, term, true
	n.acks = map[ident.Endpoint]ack{}
	n.confirmed = 0
	n.applyAll()
	n.termStart = n.log.last().Position + 1
	n.append(record{Term: term, Position: n.termStart, At: now.UnixNano()})
}

// append adds a record of the primary itself. The mutex is held.
func (n *node) append(r record) {
	n.log.push(r)
	n.applyAll()
	n.confirm()
	n.signal()
}

func (n *node) applyAll() { n.applyUntil(math.MaxInt64) }

// applyUntil applies the records that were committed up to a time of the
// primary's clock, in nanoseconds. The mutex is held.
func (n *node) applyUntil(at int64) {
	for _, r := range n.log.after(n.applied) {
		if r.At > at {
			return
		}
		n.db.apply(&r)
		n.applied = r.Position
	}
}

// confirm moves the confirmed position to the highest one that a majority
// holds. The mutex is held.
func (n *node) confirm() {
	held := []ident.Position{n.log.last().Position}
	for _, a := range n.acks {
		held = append(held, a.position)
	}
	need := n.config.majority()
	if n.serving() != nil || len(held) < need {
		return
	}
	slices.Sort(held)
	p := held[len(held)-need]
	if p < n.termStart || p <= n.confirmed {
		return
	}
	assert.That(p <= n.log.last().Position, "EndpointConfirmsOwnLog", "confirmed %d of %d", p, n.log.last().Position)
	n.confirmed = p
}

// serving returns why the node refuses all work, or nil. The mutex is held.
func (n *node) serving() error {
	if n.term == 0 {
		return fail(group.CodeSealed, "endpoint %s is starting", n.config.Name)
	}
	if n.sealed > n.term {
		return fail(group.CodeSealed, "endpoint %s has sealed term %d", n.config.Name, n.sealed)
	}
	if !n.synced {
		return fail(group.CodeSealed, "endpoint %s has not reached its primary yet", n.config.Name)
	}
	return nil
}

func (n *node) status(now time.Time) group.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.statusLocked(now)
}

func (n *node) statusLocked(now time.Time) group.Status {
	s := group.Status{Term: n.term, Role: n.role, Last: n.log.last(), Sealed: n.sealed, DataAge: n.dataAge(now)}
	if n.role == group.PrimaryRole {
		s.Confirmed = n.confirmed
	} else {
		s.PrimaryHeard = max(0, now.Sub(n.heard))
	}
	return s
}

// quorumGrace is for how long after a majority answered a primary takes its
// own data as current.
const quorumGrace = 5 * heartbeat

// dataAge is how far the data lags behind the primary's clock. A primary that
// is out of touch with a majority may have been replaced, so that its data
// ages too. The mutex is held.
func (n *node) dataAge(now time.Time) time.Duration {
	if n.role == group.ReplicaRole {
		asOf := n.asOf
		if n.applied < n.log.last().Position {
			asOf = min(asOf, n.log.after(n.applied)[0].At)
		}
		return max(0, now.Sub(time.Unix(0, asOf)))
	}
	sent := []time.Time{now}
	for _, a := range n.acks {
		sent = append(sent, a.sent)
	}
	need := n.config.majority()
	if len(sent) < need {
		return max(0, now.Sub(n.heard))
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	if age := now.Sub(sent[need-1]); age > quorumGrace {
		return age
	}
	return 0
}

// commit appends the transaction to the log and returns its mark. A
// transaction that changed nothing has the zero mark.
func (n *node) commit(t *txn, now time.Time) (ident.LogPosition, error) {
	if !t.changed() {
		return ident.LogPosition{}, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.writable(t); err != nil {
		return ident.LogPosition{}, err
	}
	if err := t.conflict(n.db); err != nil {
		return ident.LogPosition{}, err
	}
	m := ident.LogPosition{Term: n.term, Position: n.log.last().Position + 1}
	n.append(t.record(m, now))
	return m, nil
}

// writable returns why the transaction may not write here. The mutex is held.
func (n *node) writable(t *txn) error {
	if err := n.serving(); err != nil {
		return err
	}
	if t.term != n.term {
		return fail(group.CodeSealed, "the transaction began in term %d, before term %d", t.term, n.term)
	}
	if n.role != group.PrimaryRole || t.readOnly {
		return fail(codeReadOnly, "cannot execute a write in a read-only transaction")
	}
	return nil
}

// lastWrite returns the confirmed position as far as it says something about
// mark: zero when the log has lost the mark's record.
func (n *node) lastWrite(m ident.LogPosition) ident.Position {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != group.PrimaryRole || (!m.Zero() && !n.log.holds(m)) {
		return 0
	}
	return n.confirmed
}

func (n *node) currentRole() group.Role {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.role
}

func (n *node) currentTerm() ident.Term {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.term
}

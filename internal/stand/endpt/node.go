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

// node is the endpoint's member of its group: the log, the tables built from
// it, and the terms. One mutex guards it and is never held while waiting.
type node struct {
	config Config

	mu      sync.Mutex
	log     recordLog
	db      *tables
	applied ident.Position
	term    ident.Term
	sealed  ident.Term
	role    group.Role
	// synced reports that a replica's log is a prefix of its primary's.
	synced bool
	// voting reports that the endpoint may acknowledge and seal. A starting
	// endpoint may not until it knows whether it replaces a killed process; a
	// replacement may not until it has caught up.
	voting           bool
	incarnation      uint64
	incarnations     map[ident.Endpoint]uint64 // first known incarnation of each peer
	started          time.Time
	termStart        ident.Position // first position of the node's own term, on a primary
	confirmed        ident.Position
	acks             map[ident.Endpoint]ack
	primaryContactAt time.Time // when a replica last received data from its primary
	asOf             int64     // the primary's time up to which the log is complete
	serial           int64
	changed          chan struct{} // closed and replaced when the log or a role changes
	source           string        // address of the primary that a replica follows
	cancelStream     context.CancelFunc
}

// ack is the last acknowledgement that a primary received from a replica.
type ack struct {
	position ident.Position
	sent     time.Time // when the primary sent the acknowledged batch
}

func newNode(c Config, now time.Time) *node {
	n := &node{
		config: c, db: newTables(), role: group.ReplicaRole, primaryContactAt: now, asOf: now.UnixNano(),
		acks: map[ident.Endpoint]ack{}, changed: make(chan struct{}), cancelStream: func() {},
		incarnation: rand.Uint64(), incarnations: map[ident.Endpoint]uint64{}, started: now,
	}
	return n
}

// notifyChanged wakes all goroutines that wait for a change. The mutex is held.
func (n *node) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// stopFollowing stops the replication stream of a replica. The mutex is held.
func (n *node) stopFollowing() {
	n.cancelStream()
	n.source = ""
}

// becomePrimary makes the node the primary of term. The term begins with a
// record of its own, and the node confirms nothing in the term until that
// record is confirmed: Raft, section 5.4.2. The mutex is held.
func (n *node) becomePrimary(term ident.Term, now time.Time) {
	n.stopFollowing()
	n.role, n.term, n.synced = group.PrimaryRole, term, true
	n.acks = map[ident.Endpoint]ack{}
	n.confirmed = 0
	n.applyAll()
	n.termStart = n.log.last().Position + 1
	n.append(record{Term: term, Position: n.termStart, At: now.UnixNano()})
}

// append adds a record on the primary. The mutex is held.
func (n *node) append(r record) {
	n.log.add(r)
	n.applyAll()
	n.advanceConfirmed()
	n.notifyChanged()
}

func (n *node) applyAll() { n.applyUntil(math.MaxInt64) }

// applyUntil applies the records that were committed until a time of the
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

// advanceConfirmed moves the confirmed position to the highest one that a
// majority holds. The mutex is held.
func (n *node) advanceConfirmed() {
	held := []ident.Position{n.log.last().Position}
	for _, a := range n.acks {
		held = append(held, a.position)
	}
	need := n.config.majority()
	if n.checkServing() != nil || len(held) < need {
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

// checkServing returns the error with which the node rejects all statements, or
// nil if it serves. The mutex is held.
func (n *node) checkServing() error {
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
		s.PrimaryHeard = max(0, now.Sub(n.primaryContactAt))
	}
	return s
}

// quorumGrace is how long a primary treats its own data as current after a
// majority last answered.
const quorumGrace = 5 * heartbeatInterval

// dataAge returns how far the data lags behind the primary's clock. A primary
// that has lost contact with a majority may have been replaced, so its data
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
		return max(0, now.Sub(n.primaryContactAt))
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	if age := now.Sub(sent[need-1]); age > quorumGrace {
		return age
	}
	return 0
}

// commit appends the transaction to the log and returns its position. It
// returns the zero position for a transaction that changed nothing.
func (n *node) commit(t *txn, now time.Time) (ident.LogPosition, error) {
	if !t.changed() {
		return ident.LogPosition{}, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkWritable(t); err != nil {
		return ident.LogPosition{}, err
	}
	if err := t.conflict(n.db); err != nil {
		return ident.LogPosition{}, err
	}
	pos := ident.LogPosition{Term: n.term, Position: n.log.last().Position + 1}
	n.append(t.record(pos, now))
	return pos, nil
}

// checkWritable returns the error for which the transaction cannot write here,
// or nil. The mutex is held.
func (n *node) checkWritable(t *txn) error {
	if err := n.checkServing(); err != nil {
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

// confirmedFor returns the confirmed position if it applies to the record at
// pos. It returns zero if the node is not the primary or its log no longer
// contains that record.
func (n *node) confirmedFor(pos ident.LogPosition) ident.Position {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != group.PrimaryRole || (!pos.Zero() && !n.log.contains(pos)) {
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

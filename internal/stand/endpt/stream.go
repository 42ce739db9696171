package endpt

import (
	"context"
	"encoding/binary"
	"net"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	heartbeat   = 20 * time.Millisecond
	redial      = 10 * time.Millisecond
	dialTimeout = time.Second
	batchLimit  = 256
	// replicationCode stands in the place of a protocol version in the first
	// eight bytes of a replication connection.
	replicationCode = 0x4d525250
	preambleBytes   = 8
)

var errStream = errors.New("replication stream ended")

// followAsk opens a stream: a replica tells its log.
type followAsk struct {
	Name        ident.Endpoint
	Incarnation uint64
	Term        ident.Term
	Runs        []run
	Last        ident.Position
}

// followGive answers: the replica keeps its log up to Keep.
type followGive struct {
	Name        ident.Endpoint
	Incarnation uint64
	Term        ident.Term
	Keep        ident.Position
}

// batch carries records and the time up to which they are complete.
type batch struct {
	Term    ident.Term
	Records []record
	Last    ident.Position // the last position sent so far
	AsOf    int64          // the primary's time, in nanoseconds
	Sent    int64
	// Confirmed is the primary's confirmed position.
	Confirmed ident.Position
}

// batchAck tells that the replica holds the log up to Position.
type batchAck struct {
	Term     ident.Term
	Position ident.Position
	Sent     int64 // echoed from the batch
}

// dialPeer opens a connection to another endpoint of the group.
func (s *Server) dialPeer(ctx context.Context, address string, code uint32) (net.Conn, error) {
	s.faults.group.wait(ctx)
	s.faults.frozen.wait(ctx)
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	preamble := binary.BigEndian.AppendUint32(nil, preambleBytes)
	preamble = binary.BigEndian.AppendUint32(preamble, code)
	if _, err := c.Write(preamble); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "greet peer"), c.Close())
	}
	return c, nil
}

// followLoop keeps a stream to the primary at address until ctx ends.
func (s *Server) followLoop(ctx context.Context, term ident.Term, address string) error {
	for ctx.Err() == nil {
		_ = s.followOnce(ctx, term, address)
		tasks.Pause(ctx, redial)
	}
	return nil
}

func (s *Server) followOnce(ctx context.Context, term ident.Term, address string) error {
	c, err := s.dialPeer(ctx, address, replicationCode)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer func() { _ = c.Close() }()
	in, out := cbor.NewDecoder(c), cbor.NewEncoder(c)
	if err := out.Encode(s.node.ask(term)); err != nil {
		return errors.Wrap(err, "send log position")
	}
	var give followGive
	if err := in.Decode(&give); err != nil {
		return errors.Wrap(err, "read start of stream")
	}
	if err := s.node.join(give, term, time.Now()); err != nil {
		return err
	}
	return s.followBatches(ctx, in, out)
}

func (s *Server) followBatches(ctx context.Context, in *cbor.Decoder, out *cbor.Encoder) error {
	for {
		var b batch
		if err := in.Decode(&b); err != nil {
			return errors.Wrap(err, "read batch")
		}
		s.faults.frozen.wait(ctx)
		if s.faults.group.closed() {
			return errStream
		}
		a, err := s.node.take(b, s.faults.applyLag(), time.Now())
		if err != nil {
			return err
		}
		if err := out.Encode(a); err != nil {
			return errors.Wrap(err, "acknowledge batch")
		}
	}
}

// ask describes the replica's log.
func (n *node) ask(term ident.Term) followAsk {
	n.mu.Lock()
	defer n.mu.Unlock()
	return followAsk{
		Name: n.config.Name, Incarnation: n.incarnation, Term: term,
		Runs: slices.Clone(n.log.runs), Last: n.log.last().Position,
	}
}

// following returns an error unless the node is a replica in term. The mutex
// is held.
func (n *node) following(term ident.Term) error {
	if n.sealed > term || n.term != term || n.role != group.ReplicaRole {
		return errors.Wrapf(errStream, "term %d is over", term)
	}
	return nil
}

// join truncates the part of the log that the primary does not have.
func (n *node) join(g followGive, term ident.Term, now time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.following(term); err != nil {
		return err
	}
	if g.Term != term || g.Keep > n.log.last().Position {
		return errors.Wrapf(errStream, "primary offers term %d from %d", g.Term, g.Keep)
	}
	if g.Keep < n.log.last().Position {
		n.log.truncate(g.Keep)
		n.rebuild()
	}
	n.meet(g.Name, g.Incarnation)
	n.heard = now
	return nil
}

// rebuild makes the tables anew from the log. The mutex is held.
func (n *node) rebuild() {
	n.db, n.applied = newTables(), 0
	n.applyAll()
}

// take appends and applies a batch and returns the acknowledgement.
func (n *node) take(b batch, lag time.Duration, now time.Time) (batchAck, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.following(b.Term); err != nil {
		return batchAck{}, err
	}
	for _, r := range b.Records {
		if r.Position != n.log.last().Position+1 {
			return batchAck{}, errors.Wrapf(errStream, "record %d after %d", r.Position, n.log.last().Position)
		}
		n.log.push(r)
	}
	n.heard = now
	n.applyUntil(now.Add(-lag).UnixNano())
	// The log is a prefix of the primary's from here on; before the term's
	// first record it may lack what an earlier term confirmed.
	if n.log.last().Term == b.Term {
		n.synced = true
		n.asOf = b.AsOf
		n.enfranchise(b.Confirmed, now)
	}
	n.signal()
	a := batchAck{Term: b.Term, Sent: b.Sent}
	if n.voting {
		a.Position = n.log.last().Position
	}
	return a, nil
}

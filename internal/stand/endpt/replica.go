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
	heartbeatInterval = 20 * time.Millisecond
	redialPause       = 10 * time.Millisecond
	dialTimeout       = time.Second
	batchLimit        = 256
	// replicationCode takes the place of the protocol version in the first
	// eight bytes of a replication connection.
	replicationCode = 0x4d525250
	preambleBytes   = 8
)

var errStreamEnded = errors.New("replication stream ended")

// followRequest opens a stream and describes the replica's log.
type followRequest struct {
	Name        ident.Endpoint
	Incarnation uint64
	Term        ident.Term
	Runs        []run
	Last        ident.Position
}

// followReply answers a followRequest: the replica keeps its log up to Keep.
type followReply struct {
	Name        ident.Endpoint
	Incarnation uint64
	Term        ident.Term
	Keep        ident.Position
}

// batch holds records and the time up to which they are complete.
type batch struct {
	Term    ident.Term
	Records []record
	Last    ident.Position // the last position sent so far
	AsOf    int64          // the primary's time, in nanoseconds
	Sent    int64
	// Confirmed is the primary's confirmed position.
	Confirmed ident.Position
}

// batchAck acknowledges that the replica holds the log up to Position.
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
		return nil, errors.CombineErrors(errors.Wrap(err, "send preamble"), c.Close())
	}
	return c, nil
}

// followLoop follows the primary at address, and reconnects after failures,
// until ctx ends.
func (s *Server) followLoop(ctx context.Context, term ident.Term, address string) error {
	for ctx.Err() == nil {
		_ = s.followOnce(ctx, term, address)
		tasks.Pause(ctx, redialPause)
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
	if err := out.Encode(s.node.followRequest(term)); err != nil {
		return errors.Wrap(err, "send log position")
	}
	var reply followReply
	if err := in.Decode(&reply); err != nil {
		return errors.Wrap(err, "read start of stream")
	}
	if err := s.node.alignLog(reply, term, time.Now()); err != nil {
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
		if s.faults.group.isClosed() {
			return errStreamEnded
		}
		a, err := s.node.applyBatch(b, s.faults.applyLag(), time.Now())
		if err != nil {
			return err
		}
		if err := out.Encode(a); err != nil {
			return errors.Wrap(err, "acknowledge batch")
		}
	}
}

// followRequest returns the request that describes the replica's log.
func (n *node) followRequest(term ident.Term) followRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	return followRequest{
		Name: n.config.Name, Incarnation: n.incarnation, Term: term,
		Runs: slices.Clone(n.log.runs), Last: n.log.last().Position,
	}
}

// checkReplica returns an error unless the node is a replica in term. The mutex
// is held.
func (n *node) checkReplica(term ident.Term) error {
	if n.sealed > term || n.term != term || n.role != group.ReplicaRole {
		return errors.Wrapf(errStreamEnded, "term %d is over", term)
	}
	return nil
}

// alignLog truncates the part of the log that the primary does not have.
func (n *node) alignLog(reply followReply, term ident.Term, now time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkReplica(term); err != nil {
		return err
	}
	if reply.Term != term || reply.Keep > n.log.last().Position {
		return errors.Wrapf(errStreamEnded, "primary offers term %d from %d", reply.Term, reply.Keep)
	}
	if reply.Keep < n.log.last().Position {
		n.log.truncate(reply.Keep)
		n.rebuild()
	}
	n.recordIncarnation(reply.Name, reply.Incarnation)
	n.primaryContactAt = now
	return nil
}

// rebuild builds the tables again from the log. The mutex is held.
func (n *node) rebuild() {
	n.db, n.applied = newTables(), 0
	n.applyAll()
}

// applyBatch appends a batch to the log, applies it and returns the
// acknowledgement.
func (n *node) applyBatch(b batch, lag time.Duration, now time.Time) (batchAck, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkReplica(b.Term); err != nil {
		return batchAck{}, err
	}
	for _, r := range b.Records {
		if r.Position != n.log.last().Position+1 {
			return batchAck{}, errors.Wrapf(errStreamEnded, "record %d after %d", r.Position, n.log.last().Position)
		}
		n.log.add(r)
	}
	n.primaryContactAt = now
	n.applyUntil(now.Add(-lag).UnixNano())
	// From the term's first record on, the log is a prefix of the primary's;
	// before, it may lack records that an earlier term confirmed.
	if n.log.last().Term == b.Term {
		n.synced = true
		n.asOf = b.AsOf
		n.enableVoting(b.Confirmed, now)
	}
	n.notifyChanged()
	a := batchAck{Term: b.Term, Sent: b.Sent}
	if n.voting {
		a.Position = n.log.last().Position
	}
	return a, nil
}

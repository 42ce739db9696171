package endpt

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// serveReplica sends the log to one replica until the connection fails or the
// term ends.
func (s *Server) serveReplica(ctx context.Context, c net.Conn) error {
	defer func() { _ = c.Close() }()
	if s.faults.group.isClosed() {
		return errStreamEnded
	}
	in, out := cbor.NewDecoder(c), cbor.NewEncoder(c)
	var request followRequest
	if err := in.Decode(&request); err != nil {
		return errors.Wrap(err, "read replica's position")
	}
	s.faults.frozen.wait(ctx)
	reply, err := s.node.acceptReplica(request)
	if err != nil {
		return err
	}
	if err := out.Encode(reply); err != nil {
		return errors.Wrap(err, "send start of stream")
	}
	g := tasks.New(ctx)
	defer context.AfterFunc(g.Context(), func() { _ = c.Close() })()
	g.Go(func(ctx context.Context) error {
		defer func() { _ = c.Close() }()
		return s.readAcks(ctx, in, request.Name)
	})
	err = s.sendBatches(ctx, out, reply)
	_ = c.Close()
	return errors.CombineErrors(err, g.Close())
}

func (s *Server) readAcks(ctx context.Context, in *cbor.Decoder, from ident.Endpoint) error {
	for {
		var a batchAck
		if err := in.Decode(&a); err != nil {
			return errors.Wrap(err, "read acknowledgement")
		}
		s.faults.frozen.wait(ctx)
		if s.faults.group.isClosed() {
			return errStreamEnded
		}
		s.node.acknowledge(from, a)
	}
}

func (s *Server) sendBatches(ctx context.Context, out *cbor.Encoder, reply followReply) error {
	next := reply.Keep
	for ctx.Err() == nil {
		s.faults.frozen.wait(ctx)
		if s.faults.group.isClosed() {
			return errStreamEnded
		}
		b, changed, err := s.node.batch(reply.Term, next, s.faults.replicationLag(), time.Now())
		if err != nil {
			return err
		}
		if err := out.Encode(b); err != nil {
			return errors.Wrap(err, "send batch")
		}
		next = b.Last
		if len(b.Records) < batchLimit {
			s.awaitRecords(ctx, changed, next)
		}
	}
	return ctx.Err()
}

// awaitRecords waits until a record after position p or the next heartbeat is
// due.
func (s *Server) awaitRecords(ctx context.Context, changed <-chan struct{}, p ident.Position) {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	if d, ok := s.node.committedAt(p); ok {
		tasks.Pause(ctx, min(heartbeatInterval, time.Until(d.Add(s.faults.replicationLag()))))
		return
	}
	select {
	case <-timer.C:
	case <-changed:
		if d, ok := s.node.committedAt(p); ok {
			tasks.Pause(ctx, min(heartbeatInterval, time.Until(d.Add(s.faults.replicationLag()))))
		}
	case <-ctx.Done():
	}
}

// committedAt returns when the record after position p was committed, if there
// is one.
func (n *node) committedAt(p ident.Position) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p >= n.log.last().Position {
		return time.Time{}, false
	}
	return time.Unix(0, n.log.after(p)[0].At), true
}

// checkPrimary returns an error unless the node is the primary of term and has
// not sealed a later one. The mutex is held.
func (n *node) checkPrimary(term ident.Term) error {
	if n.sealed > term || n.term != term || n.role != group.PrimaryRole {
		return errors.Wrapf(errStreamEnded, "endpoint %s is not the primary of term %d", n.config.Name, term)
	}
	return nil
}

// acceptReplica returns the position from which the replica has to copy the
// log.
func (n *node) acceptReplica(request followRequest) (followReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkPrimary(request.Term); err != nil {
		return followReply{}, err
	}
	if _, member := n.config.Peers[request.Name]; !member {
		return followReply{}, errors.Wrapf(errStreamEnded, "%s is not a member of the group", request.Name)
	}
	n.recordIncarnation(request.Name, request.Incarnation)
	delete(n.acks, request.Name) // they may come from an earlier process
	keep := commonPosition(n.log.runs, n.log.last().Position, request.Runs, request.Last)
	return followReply{Name: n.config.Name, Incarnation: n.incarnation, Term: n.term, Keep: keep}, nil
}

// batch returns the records after position p that are older than lag, and a
// channel that is closed when there may be more.
func (n *node) batch(term ident.Term, p ident.Position, lag time.Duration, now time.Time) (batch, <-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkPrimary(term); err != nil {
		return batch{}, nil, err
	}
	b := batch{Term: term, Last: p, AsOf: now.Add(-lag).UnixNano(), Sent: now.UnixNano(), Confirmed: n.confirmed}
	for _, r := range n.log.after(p) {
		if r.At > b.AsOf || len(b.Records) == batchLimit {
			b.AsOf = min(b.AsOf, r.At)
			break
		}
		b.Records = append(b.Records, r)
		b.Last = r.Position
	}
	b.Records = slices.Clip(b.Records)
	return b, n.changed, nil
}

// acknowledge records the position that a replica holds.
func (n *node) acknowledge(from ident.Endpoint, a batchAck) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.checkPrimary(a.Term) != nil {
		return
	}
	n.acks[from] = ack{position: a.Position, sent: time.Unix(0, a.Sent)}
	n.advanceConfirmed()
}

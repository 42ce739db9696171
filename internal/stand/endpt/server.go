package endpt

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Server is one running endpoint.
type Server struct {
	config   Config
	listener net.Listener
	control  net.Listener
	tasks    *tasks.Group
	node     *node
	faults   *faults
	counters *counters
	slots    chan struct{}

	open     atomic.Int64 // connections of callers
	lastPID  atomic.Uint32
	mu       sync.Mutex
	sessions map[uint32]*session
}

// Start opens the endpoint's listeners and serves until Close is called or ctx
// ends.
func Start(ctx context.Context, config Config) (*Server, error) {
	c, err := config.checked()
	if err != nil {
		return nil, err
	}
	s := &Server{
		config: c, listener: c.Listener, node: newNode(c, time.Now()), faults: newFaults(c),
		counters: newCounters(), slots: make(chan struct{}, c.Slots), sessions: map[uint32]*session{},
	}
	if err := s.listen(ctx); err != nil {
		return nil, err
	}
	s.tasks = tasks.New(ctx)
	context.AfterFunc(s.tasks.Context(), func() { _ = s.listener.Close() })
	s.tasks.Go(s.accept)
	if s.control != nil {
		s.tasks.Go(s.serveControl)
	}
	if len(c.Peers) > 0 {
		s.tasks.Go(s.joinGroup)
	} else if err := s.bootstrap(); err != nil {
		return nil, errors.CombineErrors(err, s.Close())
	}
	klog.InfoS("Endpoint started", "endpoint", c.Name, "address", s.Addr(), "primary", c.Primary)
	return s, nil
}

func (s *Server) listen(ctx context.Context) error {
	var lc net.ListenConfig
	var err error
	if s.listener == nil {
		if s.listener, err = lc.Listen(ctx, "tcp", s.config.Listen); err != nil {
			return errors.Wrap(err, "listen for callers")
		}
	}
	if s.config.Control == "" {
		return nil
	}
	if s.control, err = lc.Listen(ctx, "tcp", s.config.Control); err != nil {
		_ = s.listener.Close()
		return errors.Wrap(err, "listen for control")
	}
	return nil
}

// follow makes the endpoint a replica of the primary at address.
func (s *Server) follow(term ident.Term, address string) error {
	return s.node.follow(term, address, func() context.CancelFunc {
		ctx, cancel := context.WithCancel(s.tasks.Context())
		s.tasks.Go(func(context.Context) error { return s.followLoop(ctx, term, address) })
		return cancel
	})
}

// Addr returns the address for callers, as IP and port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// ControlAddr returns the address of the control interface, or an empty string
// if there is none.
func (s *Server) ControlAddr() string {
	if s.control == nil {
		return ""
	}
	return s.control.Addr().String()
}

// Close closes every connection and waits for every goroutine.
func (s *Server) Close() error {
	_ = s.tasks.Close() // ignore the errors with which the streams end
	_ = s.listener.Close()
	return nil
}

// Wait blocks until the endpoint has stopped.
func (s *Server) Wait() { _ = s.tasks.Wait() }

func (s *Server) accept(ctx context.Context) error {
	for ctx.Err() == nil {
		c, err := s.listener.Accept()
		if err != nil {
			klog.V(1).InfoS("Accept failed", "endpoint", s.config.Name, "reason", err)
			tasks.Pause(ctx, redialPause)
			continue
		}
		s.tasks.Go(func(ctx context.Context) error { return s.serve(ctx, c) })
	}
	return nil
}

// serve distinguishes replication connections from callers by the first eight
// bytes.
func (s *Server) serve(ctx context.Context, c net.Conn) error {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	var preamble [preambleBytes]byte
	if _, err := io.ReadFull(c, preamble[:]); err != nil {
		return errors.CombineErrors(c.Close(), nil)
	}
	switch binary.BigEndian.Uint32(preamble[4:]) {
	case replicationCode:
		return s.serveReplica(ctx, c)
	case probeCode:
		return s.answerProbe(ctx, c)
	}
	p := &prefixedConn{Conn: c, rest: io.MultiReader(bytes.NewReader(preamble[:]), c)}
	p.rest = &textWatcher{source: p.rest, server: s}
	l := newDelayedConn(s.tasks, p, s.faults.callerLatency, &s.faults.frozen, &s.faults.callers)
	defer func() { _ = l.Close() }()
	if err := newSession(s, l).serve(ctx); err != nil {
		klog.V(1).InfoS("Session ended", "endpoint", s.config.Name, "reason", err)
	}
	return nil
}

// prefixedConn is a connection from which some bytes have been read already;
// rest returns them first.
type prefixedConn struct {
	net.Conn
	rest io.Reader
}

// Read implements net.Conn.
func (p *prefixedConn) Read(b []byte) (int, error) { return p.rest.Read(b) }

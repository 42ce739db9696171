package front

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/puzpuzpuz/xsync/v4"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/acct"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Options configure a server and bound its resources.
type Options struct {
	MaxCallers     int           // caller connections; 0 for no limit
	RequestTimeout time.Duration // longest time for one batch
	PrimaryWait    time.Duration // longest wait for a primary, from the start of a batch
	LoginTimeout   time.Duration
	MaxFrame       int // bytes of one message from a caller
	MaxBatch       int // bytes of all messages up to a Sync
	TLS            *tls.Config
	AllowPlain     bool
	DataCentre     ident.DataCentre
	// ReadsAtPrimary sends every read to the primary. It is the baseline that
	// reads at replicas are compared with.
	ReadsAtPrimary bool
}

// DefaultOptions returns the options for an instance that serves callers.
func DefaultOptions() Options {
	return Options{
		MaxCallers:     20000,
		RequestTimeout: 10 * time.Second,
		PrimaryWait:    2 * time.Second,
		LoginTimeout:   5 * time.Second,
		MaxFrame:       16 << 20,
		MaxBatch:       32 << 20,
	}
}

// Server accepts callers and runs a session for each.
type Server struct {
	options      Options
	listener     net.Listener
	admitter     acct.Admitter
	routes       *RouteTable
	events       *event.Log
	tasks        *tasks.Group
	sessions     *xsync.Map[uint32, *session]
	nextID       atomic.Uint32
	rotation     atomic.Uint32
	sessionCount atomic.Int64
	draining     atomic.Bool
	drained      chan struct{}
}

// NewServer returns a server on listener. Start starts it.
func NewServer(listener net.Listener, admitter acct.Admitter, table *RouteTable, events *event.Log, options Options) *Server {
	return &Server{
		options:  options,
		listener: listener,
		admitter: admitter,
		routes:   table,
		events:   events,
		tasks:    tasks.New(context.Background()),
		sessions: xsync.NewMap[uint32, *session](),
		drained:  make(chan struct{}),
	}
}

// Start accepts callers until Drain or Close.
func (s *Server) Start() { s.tasks.Go(s.accept) }

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Sessions returns how many callers are connected.
func (s *Server) Sessions() int { return int(s.sessionCount.Load()) }

func (s *Server) accept(ctx context.Context) error {
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || s.draining.Load() {
				return nil
			}
			klog.ErrorS(err, "Accept failed")
			time.Sleep(acceptBackoff)
			continue
		}
		s.tasks.Go(func(ctx context.Context) error {
			s.serve(ctx, socket)
			return nil
		})
	}
}

const acceptBackoff = 10 * time.Millisecond

func (s *Server) serve(ctx context.Context, socket net.Conn) {
	s.sessionCount.Add(1)
	defer s.sessionCount.Add(-1)
	se := newSession(s, socket)
	defer se.close()
	defer context.AfterFunc(ctx, se.end)()
	err := tasks.Isolate(func() error { return se.serve(ctx) })
	var panicked *tasks.PanicError
	if errors.As(err, &panicked) {
		klog.ErrorS(panicked, "Caller session panicked", "session", se.id)
		return
	}
	if err != nil && !errors.Is(err, errGone) {
		klog.V(3).InfoS("Caller session failed", "session", se.id, "err", err)
	}
}

func (s *Server) register(se *session) {
	for {
		se.id = s.nextID.Add(1)
		if _, taken := s.sessions.LoadOrStore(se.id, se); !taken {
			break
		}
	}
	var b [4]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	se.secret = binary.BigEndian.Uint32(b[:])
}

// Drain stops accepting callers, ends idle sessions with 57P01 and lets running
// requests and transactions finish. It returns when all sessions have ended, or
// with an error when ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	if s.draining.Swap(true) {
		return s.tasks.Wait()
	}
	_ = s.listener.Close()
	close(s.drained)
	s.sessions.Range(func(_ uint32, se *session) bool {
		se.wake()
		return true
	})
	done := make(chan struct{})
	var waiter = tasks.New(ctx)
	waiter.Go(func(context.Context) error {
		defer close(done)
		return s.tasks.Wait()
	})
	select {
	case <-done:
		return waiter.Wait()
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%d callers still connected", s.Sessions())
	}
}

// Close ends every session at once and waits for them. A batch that has been
// read is answered with what is known of its outcome.
func (s *Server) Close() error {
	s.draining.Store(true)
	_ = s.listener.Close()
	return s.tasks.Close()
}

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

// Options bound what a server takes on.
type Options struct {
	MaxCallers     int           // connections of callers
	RequestTimeout time.Duration // longest time for one batch
	ParkTime       time.Duration // longest wait for a primary
	LoginTimeout   time.Duration
	MaxFrame       int // bytes of one message of a caller
	MaxBatch       int // bytes of messages up to a Sync
	TLS            *tls.Config
	AllowPlain     bool
	DataCentre     ident.DataCentre
	// ReadsAtPrimary sends every read to the primary. It is the version that
	// reads at replicas are measured against.
	ReadsAtPrimary bool
}

// DefaultOptions returns the bounds for an entry instance.
func DefaultOptions() Options {
	return Options{
		MaxCallers:     20000,
		RequestTimeout: 10 * time.Second,
		ParkTime:       2 * time.Second,
		LoginTimeout:   5 * time.Second,
		MaxFrame:       16 << 20,
		MaxBatch:       32 << 20,
	}
}

// Server accepts callers.
type Server struct {
	options  Options
	listener net.Listener
	gate     acct.Admitter
	table    *Table
	events   *event.Log
	group    *tasks.Group
	sessions *xsync.Map[uint32, *session]
	next     atomic.Uint32
	turn     atomic.Uint32
	count    atomic.Int64
	draining atomic.Bool
	drained  chan struct{}
}

// NewServer returns a server on listener. Run starts it.
func NewServer(listener net.Listener, gate acct.Admitter, table *Table, events *event.Log, options Options) *Server {
	return &Server{
		options:  options,
		listener: listener,
		gate:     gate,
		table:    table,
		events:   events,
		group:    tasks.New(context.Background()),
		sessions: xsync.NewMap[uint32, *session](),
		drained:  make(chan struct{}),
	}
}

// Start accepts callers until Drain or Close.
func (s *Server) Start() { s.group.Go(s.accept) }

// Sessions returns how many callers are connected.
func (s *Server) Sessions() int { return int(s.count.Load()) }

func (s *Server) accept(ctx context.Context) error {
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || s.draining.Load() {
				return nil
			}
			klog.ErrorS(err, "Accept failed")
			time.Sleep(acceptPause)
			continue
		}
		s.group.Go(func(ctx context.Context) error {
			s.serve(ctx, socket)
			return nil
		})
	}
}

const acceptPause = 10 * time.Millisecond

func (s *Server) serve(ctx context.Context, socket net.Conn) {
	s.count.Add(1)
	defer s.count.Add(-1)
	se := newSession(s, socket)
	defer se.close()
	if err := se.converse(ctx); err != nil && !errors.Is(err, errGone) {
		klog.V(3).InfoS("Caller ended", "session", se.id, "err", err)
	}
}

func (s *Server) register(se *session) {
	for {
		se.id = s.next.Add(1)
		if _, taken := s.sessions.LoadOrStore(se.id, se); !taken {
			break
		}
	}
	var b [4]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	se.secret = binary.BigEndian.Uint32(b[:])
}

// Drain stops accepting callers, ends those that are idle with 57P01 and lets
// requests and transactions end. It returns when all are gone or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	if s.draining.Swap(true) {
		return s.group.Wait()
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
		return s.group.Wait()
	})
	select {
	case <-done:
		return waiter.Wait()
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%d callers still served", s.Sessions())
	}
}

// Close ends every caller at once and waits for the last.
func (s *Server) Close() error {
	s.draining.Store(true)
	_ = s.listener.Close()
	s.sessions.Range(func(_ uint32, se *session) bool {
		_ = se.socket.Close()
		return true
	})
	return s.group.Close()
}

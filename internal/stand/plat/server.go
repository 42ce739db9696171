// Package plat emulates the platform for tests and experiments: the
// transactional table service over the DynamoDB protocol, the object store over
// the S3 protocol, both limited to the operations that the proxy uses, and the
// eventually consistent list of instances. Faults are injected by method calls
// or over a control address. All data is held in memory. The package isn't part
// of the product.
package plat

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/conf"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

const (
	anyPort       = "127.0.0.1:0"
	headerTimeout = 5 * time.Second
)

// Config configures a server.
type Config struct {
	Listen  string // IP and port of the services
	Control string // IP and port of the control address
	// ListLag is the delay until readers see a change of the list.
	ListLag time.Duration
	// PageRows limits the rows in one query response.
	PageRows int
	// Seed is the seed for faults that occur with a probability.
	Seed uint64
}

// Option changes the configuration of a server.
type Option func(c *Config)

// WithConfig replaces the whole configuration.
func WithConfig(config Config) Option { return func(c *Config) { *c = config } }

// WithListLag sets the delay until readers see a change of the list.
func WithListLag(lag time.Duration) Option { return func(c *Config) { c.ListLag = lag } }

// WithPageRows limits the rows in one query response.
func WithPageRows(rows int) Option { return func(c *Config) { c.PageRows = rows } }

// WithSeed sets the seed for faults that occur with a probability.
func WithSeed(seed uint64) Option { return func(c *Config) { c.Seed = seed } }

// Server is a running emulation of the platform.
type Server struct {
	services net.Listener
	control  net.Listener
	faults   *injector
	tables   *tables
	objects  *objects
	list     *delayedList
	counters counters

	group    *tasks.Group
	servers  []*http.Server
	handlers sync.WaitGroup
	mu       sync.Mutex
	closed   bool
}

// Start listens on both addresses and serves until Close is called or ctx ends.
// It returns an error if an address can't be opened.
func Start(ctx context.Context, options ...Option) (*Server, error) {
	c := Config{Listen: anyPort, Control: anyPort, Seed: 1}
	for _, o := range options {
		o(&c)
	}
	if c.PageRows <= 0 {
		c.PageRows = defaultPageRows
	}
	s := &Server{
		faults:  newInjector(c.Seed),
		tables:  newTables(c.PageRows),
		objects: newObjects(),
		list:    newDelayedList(c.ListLag),
	}
	if err := s.listen(c); err != nil {
		return nil, err
	}
	s.group = tasks.New(ctx)
	s.serve(s.services, s.serviceHandler())
	s.serve(s.control, s.controlHandler())
	s.group.Go(s.stopServers)
	return s, nil
}

// Addr returns the IP and port of the services.
func (s *Server) Addr() string { return s.services.Addr().String() }

// ControlAddr returns the IP and port of the control address.
func (s *Server) ControlAddr() string { return s.control.Addr().String() }

// Platform returns the settings with which a process connects to the services.
func (s *Server) Platform() conf.Platform {
	base := "http://" + s.Addr()
	return conf.Platform{
		TableURL:  base,
		ObjectURL: base,
		ListURL:   base + listPath,
		Region:    conf.DefaultRegion,
		Table:     conf.DefaultTable,
		Bucket:    conf.DefaultBucket,
		AccessKey: "stand-in",
		SecretKey: "stand-in",
	}
}

// Wait blocks until the server has stopped and returns its error, if any.
func (s *Server) Wait() error { return s.group.Wait() }

// Close stops the server and waits for all requests to end.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	err := s.group.Close()
	s.handlers.Wait()
	return err
}

// beginRequest registers a running handler. It returns false if the server is
// closing.
func (s *Server) beginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.handlers.Add(1)
	}
	return !s.closed
}

func (s *Server) listen(c Config) error {
	var err error
	if s.services, err = net.Listen("tcp", c.Listen); err != nil {
		return errors.Wrap(err, "listen on service address")
	}
	if s.control, err = net.Listen("tcp", c.Control); err != nil {
		_ = s.services.Close()
		return errors.Wrap(err, "listen on control address")
	}
	return nil
}

func (s *Server) serve(l net.Listener, h http.Handler) {
	server := &http.Server{
		Handler:           s.trackHandlers(h),
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return s.group.Context() },
	}
	s.servers = append(s.servers, server)
	s.group.Go(func(context.Context) error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve")
		}
		return nil
	})
}

// trackHandlers counts running handlers, because http.Server.Close doesn't wait
// for them.
func (s *Server) trackHandlers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.beginRequest() {
			abort()
		}
		defer s.handlers.Done()
		h.ServeHTTP(w, r)
	})
}

func (s *Server) stopServers(ctx context.Context) error {
	<-ctx.Done()
	for _, server := range s.servers {
		_ = server.Close()
	}
	return nil
}

// serviceHandler dispatches requests to the three services.
func (s *Server) serviceHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get(targetHeader) != "":
			s.serveTable(w, r)
		case r.URL.Path == listPath:
			s.serveList(w, r)
		default:
			s.serveObject(w, r)
		}
	})
}

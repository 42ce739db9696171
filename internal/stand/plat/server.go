// Package plat is a stand-in for the platform: the transactional table service
// by the DynamoDB protocol, the object store by S3, both as far as the product
// uses them, and the lagging list of instances. Faults are switched by calls
// or over a control address. Everything is kept in memory. It is not part of
// the product.
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

// Config says where a server listens and how it behaves.
type Config struct {
	Listen  string // IP and port of the services
	Control string // IP and port of the control address
	// ListLag is how long a change of the list takes to be seen.
	ListLag time.Duration
	// PageRows bounds the rows of one query answer.
	PageRows int
	// Seed drives the faults that happen with a probability.
	Seed uint64
}

// Option changes the configuration of a server.
type Option func(c *Config)

// WithConfig replaces the whole configuration.
func WithConfig(config Config) Option { return func(c *Config) { *c = config } }

// WithListLag sets how long a change of the list takes to be seen.
func WithListLag(lag time.Duration) Option { return func(c *Config) { c.ListLag = lag } }

// WithPageRows bounds the rows of one query answer.
func WithPageRows(rows int) Option { return func(c *Config) { c.PageRows = rows } }

// WithSeed drives the faults that happen with a probability.
func WithSeed(seed uint64) Option { return func(c *Config) { c.Seed = seed } }

// Server is a running stand-in.
type Server struct {
	services net.Listener
	control  net.Listener
	faults   *injector
	tables   *tables
	objects  *objects
	list     *roster
	counters counters

	group    *tasks.Group
	servers  []*http.Server
	handlers sync.WaitGroup
	mu       sync.Mutex
	closed   bool
}

// Start opens both addresses and serves until Close, or until ctx ends.
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
		list:    newRoster(c.ListLag),
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

// Platform returns the settings by which a process reaches the services.
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

// Wait blocks until the server has stopped.
func (s *Server) Wait() error { return s.group.Wait() }

// Close stops the server and waits for every request.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	err := s.group.Close()
	s.handlers.Wait()
	return err
}

// enter counts a handler unless the server is closing.
func (s *Server) enter() bool {
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
		return errors.Wrap(err, "listen for the services")
	}
	if s.control, err = net.Listen("tcp", c.Control); err != nil {
		_ = s.services.Close()
		return errors.Wrap(err, "listen for control")
	}
	return nil
}

func (s *Server) serve(l net.Listener, h http.Handler) {
	server := &http.Server{
		Handler:           s.tracked(h),
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

// tracked counts the running handlers, which closing a server leaves behind.
func (s *Server) tracked(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.enter() {
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

// serviceHandler tells the three services apart.
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

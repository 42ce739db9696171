package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

// MaxBodyBytes bounds the body of a request.
const MaxBodyBytes = 4 << 10

const (
	maxHeaderBytes = 16 << 10
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
	stopTimeout    = 5 * time.Second
)

// The kind of record that a request for a graceful stop leaves.
const drainAsked event.Kind = "DrainAsked"

// Config says where the server listens and which secret guards its writes.
type Config struct {
	Address string // IP and port
	Secret  string // shared secret of the peers
}

// Server is the administration server of one instance.
type Server struct {
	listener net.Listener
	server   *http.Server
	token    string
	source   Source
	control  Control
	log      *event.Log
	group    *tasks.Group
}

// Start listens and serves until Close.
func Start(ctx context.Context, config Config, source Source, control Control, log *event.Log) (*Server, error) {
	l, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for administration")
	}
	s := &Server{
		listener: l,
		token:    Token(config.Secret),
		source:   source,
		control:  control,
		log:      log,
		group:    tasks.New(ctx),
	}
	s.server = &http.Server{
		Handler:        s.handler(),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	s.group.Go(s.serve)
	s.group.Go(s.stop)
	return s, nil
}

// Addr returns the IP and port of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends the running requests and waits for them.
func (s *Server) Close() error { return s.group.Close() }

func (s *Server) serve(context.Context) error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve administration")
	}
	return nil
}

// stop lets running requests end for a while before it cuts them.
func (s *Server) stop(ctx context.Context) error {
	<-ctx.Done()
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if s.server.Shutdown(grace) == nil {
		return nil
	}
	return errors.Wrap(s.server.Close(), "cut administration requests")
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /ready", s.ready)
	mux.HandleFunc("GET /v1/version", s.version)
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/events", s.events)
	mux.HandleFunc("GET /v1/invariants", s.invariants)
	mux.HandleFunc("POST /v1/drain", write(s, s.drain))
	mux.HandleFunc("POST /v1/prepare", write(s, s.prepare))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		fail(w, http.StatusNotFound, NotFound, r.Method+" "+r.URL.Path)
	})
	return mux
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WritePrometheus(w, true)
}

// health answers as long as the process runs.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, struct{ Healthy bool }{true})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.source.Ready(time.Now()); err != nil {
		fail(w, http.StatusServiceUnavailable, NotReady, err.Error())
		return
	}
	answer(w, http.StatusOK, struct{ Ready bool }{true})
}

func (s *Server) version(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.source.Version())
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.source.Report(time.Now()))
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	var since uint64
	if text := r.URL.Query().Get("since"); text != "" {
		var err error
		if since, err = strconv.ParseUint(text, 10, 64); err != nil {
			fail(w, http.StatusBadRequest, BadRequest, "since is not a sequence number")
			return
		}
	}
	records, dropped := s.log.Since(since)
	answer(w, http.StatusOK, Events{Instance: s.source.Version().Instance, Dropped: dropped, Records: records})
}

func (s *Server) invariants(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, Invariants{Broken: assert.Violations(), Reports: assert.Reports()})
}

// write guards a handler that changes something: it asks for the bearer token
// and decodes the body strictly.
func write[T any](s *Server, handle func(w http.ResponseWriter, r *http.Request, body T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.authorised(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			fail(w, http.StatusUnauthorized, Unauthorised, "an administration write needs the bearer token")
			return
		}
		var body T
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&body); err != nil {
			fail(w, http.StatusBadRequest, BadRequest, err.Error())
			return
		}
		handle(w, r, body)
	}
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request, body Drain) {
	s.log.Emit(time.Now(), drainAsked, event.Subject{}, event.Ref{}, body.Reason)
	s.control.Drain(body.Reason)
	answer(w, http.StatusAccepted, body)
}

func (s *Server) prepare(w http.ResponseWriter, r *http.Request, body Prepare) {
	if err := s.control.Prepare(r.Context(), body.Version); err != nil {
		fail(w, http.StatusServiceUnavailable, OutOfTouch, err.Error())
		return
	}
	answer(w, http.StatusOK, body)
}

func fail(w http.ResponseWriter, status int, code Code, message string) {
	answer(w, status, &Error{Code: code, Message: message})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

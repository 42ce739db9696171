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

// MaxBodyBytes limits the body of a request.
const MaxBodyBytes = 4 << 10

const (
	maxHeaderBytes  = 16 << 10
	readTimeout     = 5 * time.Second
	writeTimeout    = 30 * time.Second
	idleTimeout     = 60 * time.Second
	shutdownTimeout = 5 * time.Second
)

// drainRequested is the kind of event recorded for a drain request.
const drainRequested event.Kind = "DrainAsked"

// Config holds the socket of the server and the secret that authorises writes.
type Config struct {
	Listener net.Listener // closed by the server
	Secret   string       // shared secret of the peers
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

// Start starts a server that runs until Close or the end of ctx.
func Start(ctx context.Context, config Config, source Source, control Control, log *event.Log) *Server {
	s := &Server{
		listener: config.Listener,
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
	s.group.Go(s.shutDown)
	return s
}

// Addr returns the IP and port of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close shuts the server down and waits for running requests.
func (s *Server) Close() error { return s.group.Close() }

func (s *Server) serve(context.Context) error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve administration")
	}
	return nil
}

// shutDown gives running requests some time to finish before it closes their
// connections.
func (s *Server) shutDown(ctx context.Context) error {
	<-ctx.Done()
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if s.server.Shutdown(grace) == nil {
		return nil
	}
	return errors.Wrap(s.server.Close(), "close administration connections")
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
	mux.HandleFunc("POST /v1/drain", authorisedWrite(s, s.drain))
	mux.HandleFunc("POST /v1/prepare", authorisedWrite(s, s.prepare))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, http.StatusNotFound, NotFound, r.Method+" "+r.URL.Path)
	})
	return mux
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WritePrometheus(w, true)
}

// health reports success as long as the process runs.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{ Healthy bool }{true})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.source.Ready(time.Now()); err != nil {
		writeError(w, http.StatusServiceUnavailable, NotReady, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, struct{ Ready bool }{true})
}

func (s *Server) version(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.source.Version())
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.source.Report(time.Now()))
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	var since uint64
	if text := r.URL.Query().Get("since"); text != "" {
		var err error
		if since, err = strconv.ParseUint(text, 10, 64); err != nil {
			writeError(w, http.StatusBadRequest, BadRequest, "since is not a sequence number")
			return
		}
	}
	records, dropped := s.log.Since(since)
	writeJSON(w, http.StatusOK, Events{Instance: s.source.Version().Instance, Dropped: dropped, Records: records})
}

func (s *Server) invariants(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Invariants{Broken: assert.Violations(), Reports: assert.Reports()})
}

// authorisedWrite wraps a handler that changes something: it requires the
// bearer token and decodes the body strictly.
func authorisedWrite[T any](s *Server, handle func(w http.ResponseWriter, r *http.Request, body T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.authorised(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, Unauthorised, "administration writes require the bearer token")
			return
		}
		var body T
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&body); err != nil {
			writeError(w, http.StatusBadRequest, BadRequest, err.Error())
			return
		}
		handle(w, r, body)
	}
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request, body Drain) {
	s.log.Emit(time.Now(), drainRequested, event.Subject{}, event.Ref{}, body.Reason)
	s.control.Drain(body.Reason)
	writeJSON(w, http.StatusAccepted, body)
}

func (s *Server) prepare(w http.ResponseWriter, r *http.Request, body Prepare) {
	if err := s.control.Prepare(r.Context(), body.Version); err != nil {
		writeError(w, http.StatusServiceUnavailable, TooFewConnected, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, body)
}

func writeError(w http.ResponseWriter, status int, code Code, message string) {
	writeJSON(w, status, &Error{Code: code, Message: message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

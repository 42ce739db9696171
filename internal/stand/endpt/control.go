package endpt

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

const controlTimeout = 5 * time.Second

// Faults is the state of the injected faults, as the control interface reports
// and accepts it. Fields that are absent in a request stay unchanged.
type Faults struct {
	Frozen         *bool            `json:",omitempty"` // nothing passes on any connection
	CutCallers     *bool            `json:",omitempty"` // nothing passes to and from callers
	CutGroup       *bool            `json:",omitempty"` // no replication in either direction
	ReplicationLag *envdoc.Duration `json:",omitempty"`
	ApplyLag       *envdoc.Duration `json:",omitempty"` // delay before a replica applies the records that it holds
	Latency        *envdoc.Duration `json:",omitempty"`
	Slow           *envdoc.Duration `json:",omitempty"` // added to each statement
	CutAnswers     *int64           `json:",omitempty"` // number of answers to cut in the middle
	CutAfter       *int64           `json:",omitempty"` // bytes of such an answer that are sent; 0 means 16. Shorter answers are not cut
	LoseAnswers    *int64           `json:",omitempty"` // number of answers to lose after a commit
	// DropCallers closes all connections of callers immediately. It is an
	// action, not a state.
	DropCallers bool `json:",omitempty"`
	// Watch lists texts whose occurrences in the input from callers are
	// counted.
	Watch []string `json:",omitempty"`
}

// SetFaults changes the faults whose fields are set.
func (s *Server) SetFaults(f Faults) {
	setGate(&s.faults.frozen, f.Frozen)
	setGate(&s.faults.callers, f.CutCallers)
	setGate(&s.faults.group, f.CutGroup)
	for to, from := range map[*atomic.Int64]*envdoc.Duration{
		&s.faults.lag: f.ReplicationLag, &s.faults.apply: f.ApplyLag,
		&s.faults.latency: f.Latency, &s.faults.slow: f.Slow,
	} {
		if from != nil {
			to.Store(int64(*from))
		}
	}
	if f.Watch != nil {
		s.faults.watch.Store(&f.Watch)
	}
	if f.DropCallers {
		s.dropCallers()
	}
	if f.CutAnswers != nil {
		s.faults.cutAnswers.Store(*f.CutAnswers)
	}
	if f.CutAfter != nil {
		s.faults.cutAfter.Store(*f.CutAfter)
	}
	if f.LoseAnswers != nil {
		s.faults.loseAnswers.Store(*f.LoseAnswers)
	}
}

func (s *Server) dropCallers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.sessions {
		_ = x.conn.Conn.Close()
		_ = x.conn.Close()
	}
}

func setGate(g *gate, closed *bool) {
	if closed != nil {
		g.setClosed(*closed)
	}
}

// Faults returns the faults in effect.
func (s *Server) Faults() Faults {
	f := s.faults
	frozen, callers, cut := f.frozen.isClosed(), f.callers.isClosed(), f.group.isClosed()
	cuts, after, losses := f.cutAnswers.Load(), f.cutAfter.Load(), f.loseAnswers.Load()
	return Faults{
		Frozen: &frozen, CutCallers: &callers, CutGroup: &cut,
		ReplicationLag: duration(&f.lag), ApplyLag: duration(&f.apply), Latency: duration(&f.latency), Slow: duration(&f.slow),
		CutAnswers: &cuts, CutAfter: &after, LoseAnswers: &losses,
	}
}

func duration(v *atomic.Int64) *envdoc.Duration {
	d := envdoc.Duration(v.Load())
	return &d
}

// Counters returns the endpoint's counters.
func (s *Server) Counters() Counters { return s.counters.snapshot() }

// Status returns the endpoint's status in its group.
func (s *Server) Status() group.Status { return s.node.status(time.Now()) }

// Running returns the number of statements that hold a slot.
func (s *Server) Running() int { return len(s.slots) }

// Rows returns the rows of a table in the order of insertion, as built from the
// endpoint's own log.
func (s *Server) Rows(table string) []map[string]*string { return s.node.rows(table) }

func (n *node) rows(name string) []map[string]*string {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []map[string]*string{}
	for _, v := range newTxn(n.term).scan(n.db, name, "", nil, false) {
		out = append(out, v.values)
	}
	return out
}

// Dump is the control interface's reply with the content of a table.
type Dump struct {
	Table string
	Count int
	Rows  []map[string]*string
}

func (s *Server) serveControl(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Faults()) })
	mux.HandleFunc("POST /faults", s.postFaults)
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Counters()) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Status()) })
	mux.HandleFunc("GET /tables/{table}", func(w http.ResponseWriter, r *http.Request) {
		rows := s.Rows(r.PathValue("table"))
		reply(w, Dump{Table: r.PathValue("table"), Count: len(rows), Rows: rows})
	})
	h := &http.Server{Handler: mux, ReadHeaderTimeout: controlTimeout}
	defer context.AfterFunc(ctx, func() { _ = h.Close() })()
	if err := h.Serve(s.control); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve control interface")
	}
	return nil
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	reply(w, s.Faults())
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

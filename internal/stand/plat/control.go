package plat

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

const maxControlBytes = 1 << 20

// State is the response to GET /state.
type State struct {
	Faults   Faults
	Counters Counters
	List     []Listed
}

// Lag is the request body of POST /list/lag.
type Lag struct{ Lag envdoc.Duration }

// controlHandler serves the control address: GET /state returns a State, POST
// /faults takes Faults, POST /list a list of Listed, POST /list/entry one
// Listed and POST /list/lag a Lag.
func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(State{Faults: s.Faults(), Counters: s.Counters(), List: s.list.latest()})
	})
	mux.HandleFunc("POST /faults", control(s.SetFaults))
	mux.HandleFunc("POST /list", control(s.SetList))
	mux.HandleFunc("POST /list/entry", control(s.SetEntry))
	mux.HandleFunc("POST /list/lag", control(func(l Lag) { s.SetListLag(l.Lag.Std()) }))
	return mux
}

// SetEntry adds an entry to the list or replaces the one with the same name.
func (s *Server) SetEntry(entry Listed) {
	entries := s.list.latest()
	for i := range entries {
		if entries[i].Name == entry.Name {
			entries[i] = entry
			s.list.set(entries, time.Now())
			return
		}
	}
	s.list.set(append(entries, entry), time.Now())
}

// control decodes a JSON body, rejecting unknown fields, and passes it to
// apply.
func control[T any](apply func(body T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		apply(body)
		w.WriteHeader(http.StatusNoContent)
	}
}

package plat

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

const listPath = "/list"

// Listed is an entry in the list of instances.
type Listed struct {
	Name    string
	Address string
	Leaving bool
}

// SetList replaces the list. Readers see the change after the lag.
func (s *Server) SetList(entries []Listed) { s.list.set(entries, time.Now()) }

// SetListLag sets the lag of later changes.
func (s *Server) SetListLag(lag time.Duration) { s.list.setLag(lag) }

// delayedList is a list whose changes become visible after a delay.
type delayedList struct {
	mu      sync.Mutex
	lag     time.Duration
	visible []Listed
	pending []listChange
}

type listChange struct {
	entries []Listed
	seenAt  time.Time
}

func newDelayedList(lag time.Duration) *delayedList {
	return &delayedList{lag: lag, visible: []Listed{}}
}

func (r *delayedList) setLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lag = lag
}

func (r *delayedList) set(entries []Listed, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, listChange{append([]Listed{}, entries...), now.Add(r.lag)})
}

// read returns the entries that are visible at now.
func (r *delayedList) read(now time.Time) []Listed {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) > 0 && !r.pending[0].seenAt.After(now) {
		r.visible = r.pending[0].entries
		r.pending = r.pending[1:]
	}
	return r.visible
}

// latest returns the entries as last set, whether visible or not.
func (r *delayedList) latest() []Listed {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.pending); n > 0 {
		return slices.Clone(r.pending[n-1].entries)
	}
	return slices.Clone(r.visible)
}

func (s *Server) serveList(w http.ResponseWriter, _ *http.Request) {
	if s.faults.get().ListOutage {
		s.counters.add(func(c *Counters) { c.Refused++ })
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.counters.add(func(c *Counters) { c.Reads++ })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.list.read(time.Now()))
}

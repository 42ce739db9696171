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
	entries   []Listed
	visibleAt time.Time
}

func newDelayedList(lag time.Duration) *delayedList {
	return &delayedList{lag: lag, visible: []Listed{}}
}

func (l *delayedList) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

func (l *delayedList) set(entries []Listed, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, listChange{append([]Listed{}, entries...), now.Add(l.lag)})
}

// read returns the entries that are visible at now.
func (l *delayedList) read(now time.Time) []Listed {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		l.visible = l.pending[0].entries
		l.pending = l.pending[1:]
	}
	return l.visible
}

// latest returns the entries as last set, whether visible or not.
func (l *delayedList) latest() []Listed {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.pending); n > 0 {
		return slices.Clone(l.pending[n-1].entries)
	}
	return slices.Clone(l.visible)
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

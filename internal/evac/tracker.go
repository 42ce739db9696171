// Package evac follows the evacuation of data centres at one instance: which are
// requested, when the last statement has left, and which return to service. It
// does no I/O.
package evac

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// State is the state of a data centre.
type State uint8

// The states.
const (
	InService State = iota
	// Leaving means that the operator has requested the evacuation, and this
	// instance still has connections there.
	Leaving
	// Evacuated means that this instance has no connections there.
	Evacuated
	// Returning means that the request was withdrawn a short time ago.
	Returning

	// States is the number of states.
	States = 4
)

// String returns the name of the state, for logs and metrics.
func (s State) String() string {
	return [States]string{"InService", "Leaving", "Evacuated", "Returning"}[s]
}

// Message is an input of Tracker.Update.
type Message interface{ message() }

// Requested replaces the set of data centres that the operator has taken out of
// service.
type Requested struct{ DataCentres []ident.DataCentre }

// Connections reports how many connections this instance has to the endpoints of
// each data centre, and how long an endpoint that returns may be cold.
type Connections struct {
	Count    map[ident.DataCentre]int
	ColdTime time.Duration
}

func (Requested) message()   {}
func (Connections) message() {}

// Changed is an output of Tracker.Update: the state of a data centre changed from
// Before to State.
type Changed struct {
	DataCentre ident.DataCentre
	State      State
	Before     State
	// BeforeFor is how long it was in that state, zero if it was in service.
	BeforeFor time.Duration
}

// Tracker holds the states of the data centres. It stores none for those that are
// in service.
type Tracker struct {
	states map[ident.DataCentre]entry
}

// entry is the state of one data centre and since when it is in it.
type entry struct {
	state State
	since time.Time
}

// New returns a tracker of data centres that are all in service.
func New() *Tracker { return &Tracker{states: make(map[ident.DataCentre]entry)} }

// State returns the state of a data centre.
func (t *Tracker) State(dc ident.DataCentre) State { return t.states[dc].state }

// Active reports whether a data centre may change its state without a new request,
// so that Connections are needed.
func (t *Tracker) Active() bool {
	for _, e := range t.states {
		if e.state != Evacuated {
			return true
		}
	}
	return false
}

// Update applies a message and returns the changes, sorted by data centre.
func (t *Tracker) Update(now time.Time, m Message) []Changed {
	var out []Changed
	switch m := m.(type) {
	case Requested:
		out = t.request(now, m.DataCentres)
	case Connections:
		out = t.settle(now, m)
	}
	slices.SortFunc(out, func(a, b Changed) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

func (t *Tracker) request(now time.Time, requested []ident.DataCentre) []Changed {
	var out []Changed
	for _, dc := range requested {
		if s := t.states[dc].state; s == InService || s == Returning {
			out = append(out, t.set(now, dc, Leaving))
		}
	}
	for dc := range maps.Clone(t.states) {
		s := t.states[dc].state
		if (s == Leaving || s == Evacuated) && !slices.Contains(requested, dc) {
			out = append(out, t.set(now, dc, Returning))
		}
	}
	return out
}

func (t *Tracker) settle(now time.Time, m Connections) []Changed {
	var out []Changed
	for dc, e := range maps.Clone(t.states) {
		switch {
		case e.state == Leaving && m.Count[dc] == 0:
			out = append(out, t.set(now, dc, Evacuated))
		case e.state == Returning && now.Sub(e.since) >= m.ColdTime:
			out = append(out, t.set(now, dc, InService))
		}
	}
	return out
}

func (t *Tracker) set(now time.Time, dc ident.DataCentre, s State) Changed {
	before := t.states[dc]
	c := Changed{DataCentre: dc, State: s, Before: before.state}
	if !before.since.IsZero() {
		c.BeforeFor = now.Sub(before.since)
	}
	t.states[dc] = entry{state: s, since: now}
	if s == InService {
		delete(t.states, dc)
	}
	return c
}

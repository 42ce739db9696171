package emul

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// EvacuateKey is the prefix of the keys in ConfigTable that request evacuations.
const EvacuateKey = "evacuate/"

// Arrival is a statement that a server has received.
type Arrival struct {
	Server ident.Endpoint
	ID     string
	Text   string
	At     time.Time
}

// Evacuation is a request of the operator. Withdrawn is zero while it is in force.
type Evacuation struct {
	DataCentre ident.DataCentre
	Requested  time.Time // when the store acknowledged the request
	Withdrawn  time.Time // just before the request was withdrawn
}

// Evacuate writes the operator's requests to evacuate data centres, as one change.
func (s *Store) Evacuate(dataCentres ...ident.DataCentre) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(evacuationRows(dataCentres, false)...)
	for _, dc := range dataCentres {
		if s.inForce(dc) < 0 {
			s.evacuations = append(s.evacuations, Evacuation{DataCentre: dc, Requested: time.Now()})
		}
	}
}

// evacuationRows returns the rows of requests, or of their removal.
func evacuationRows(dataCentres []ident.DataCentre, dropped bool) []Row {
	var rows []Row
	for _, dc := range dataCentres {
		rows = append(rows, Row{Table: ConfigTable, Key: EvacuateKey + string(dc), Dropped: dropped})
	}
	return rows
}

// Withdraw removes the operator's requests to evacuate data centres, as one change.
func (s *Store) Withdraw(dataCentres ...ident.DataCentre) {
	s.mu.Lock()
	for _, dc := range dataCentres {
		if i := s.inForce(dc); i >= 0 {
			s.evacuations[i].Withdrawn = time.Now()
		}
	}
	s.mu.Unlock()
	for _, g := range s.groups {
		for _, server := range g.Servers() {
			if slices.Contains(dataCentres, server.dataCentre) {
				server.set(func() { server.beginCold(false) })
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(evacuationRows(dataCentres, true)...)
}

// inForce returns the index of the request that is in force for a data centre, or
// a negative number. The caller holds the mutex.
func (s *Store) inForce(dc ident.DataCentre) int {
	return slices.IndexFunc(s.evacuations, func(e Evacuation) bool { return e.DataCentre == dc && e.Withdrawn.IsZero() })
}

// Evacuations returns all requests, also those that have been withdrawn.
func (s *Store) Evacuations() []Evacuation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.evacuations)
}

// LateArrival is a statement that reached an evacuated server too late.
type LateArrival struct {
	Arrival
	DataCentre ident.DataCentre
	Requested  time.Time
	Allowed    time.Time // until when statements were allowed
}

// String describes the statement.
func (l LateArrival) String() string {
	return fmt.Sprintf("%s %s at %s in %s, %s after the request", l.ID, l.Text, l.Server, l.DataCentre, l.At.Sub(l.Requested).Round(time.Millisecond))
}

// CheckEvacuations returns the statements that reached a server later than limit
// after its data centre was evacuated, in the order of their arrival. Control
// statements are allowed.
func (s *Store) CheckEvacuations(limit time.Duration) []LateArrival {
	var late []LateArrival
	for _, e := range s.Evacuations() {
		for _, g := range s.groups {
			for _, server := range g.Servers() {
				if server.dataCentre != e.DataCentre {
					continue
				}
				for _, a := range server.Arrivals() {
					end := e.Requested.Add(limit)
					if a.At.After(end) && (e.Withdrawn.IsZero() || a.At.Before(e.Withdrawn)) {
						late = append(late, LateArrival{Arrival: a, DataCentre: e.DataCentre, Requested: e.Requested, Allowed: end})
					}
				}
			}
		}
	}
	slices.SortFunc(late, func(a, b LateArrival) int { return a.At.Compare(b.At) })
	return late
}

// Arrivals returns the statements that the server has received, except control
// statements. Servers without a data centre record none.
func (s *Server) Arrivals() []Arrival {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// recordArrival records a statement that has arrived.
func (s *Server) recordArrival(id, text string) {
	word, _, _ := strings.Cut(text, " ")
	if s.dataCentre == "" || slices.Contains([]string{"STATUS", "PAUSE", "RESUME", "STEPDOWN"}, word) {
		return
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.arrivals = append(s.arrivals, Arrival{Server: s.id, ID: id, Text: text, At: time.Now()})
}

// DataCentre returns where the server is, or nothing if the group's configuration
// places no servers.
func (s *Server) DataCentre() ident.DataCentre { return s.dataCentre }

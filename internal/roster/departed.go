package roster

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// departedAfter is how long an instance must have been missing before it counts
// as departed. A machine that is being repaired or replaced under its old name
// keeps its entry.
const departedAfter = 15 * time.Minute

// Departures finds the instances that have left for good. Where machines are
// replaced all the time, the list of members would otherwise grow with each of
// them. It is not safe for concurrent use.
type Departures struct {
	missingSince map[ident.Instance]time.Time
}

// NewDepartures returns a Departures that considers no instance missing.
func NewDepartures() *Departures {
	return &Departures{missingSince: make(map[ident.Instance]time.Time)}
}

// Update records which instances are missing now, and returns the departed ones
// that this instance has to remove from the list of members. Only the first hub
// removes any, and only while it is connected to most instances: one that is cut
// off would take the others for departed.
func (d *Departures) Update(now time.Time, r *Roster) []ident.Instance {
	if hubs := r.Hubs(); !r.MostConnected() || len(hubs) == 0 || hubs[0] != r.self {
		clear(d.missingSince)
		return nil
	}
	var departed []ident.Instance
	for n := range r.members {
		if n == r.self || r.connected[n] {
			delete(d.missingSince, n)
			continue
		}
		since, missing := d.missingSince[n]
		if !missing {
			d.missingSince[n] = now
		} else if now.Sub(since) >= departedAfter {
			departed = append(departed, n)
		}
	}
	d.forgetRemoved(r)
	slices.Sort(departed)
	return departed
}

// forgetRemoved drops the instances that are no members any more.
func (d *Departures) forgetRemoved(r *Roster) {
	for n := range d.missingSince {
		if !r.Has(n) {
			delete(d.missingSince, n)
		}
	}
}

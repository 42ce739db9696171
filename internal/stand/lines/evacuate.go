package lines

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// evacuationLimit is how long after the request a statement may reach a
	// server of an evacuated data centre.
	evacuationLimit = 5 * time.Second
	// evacuationStream separates the random numbers of the evacuations from those
	// of the other faults, so that the other faults of a seed stay the same.
	evacuationStream = 0x65766163
	// meanEvacuationPause is the mean time between the end of an evacuation and
	// the next one.
	meanEvacuationPause = 6 * time.Second
	// The length of an evacuation. Some are withdrawn before the time limit.
	minEvacuation = 2 * time.Second
	maxEvacuation = 14 * time.Second
	// One of pairInterval evacuations, on average, is of two data centres.
	pairInterval = 4
	// storeRecovery is how long before a request the store must have no fault. An
	// instance notices after up to 4 s that a call to the store is lost.
	storeRecovery = 6 * time.Second
	// requestTime is how long after a request the store must have no fault, so
	// that all instances learn of it.
	requestTime = 2 * time.Second
	// heldDelay is how long a statement that a link held may take to arrive after
	// the link delivers it.
	heldDelay = 300 * time.Millisecond
	// evacuationStep is by how much a request is delayed while other faults
	// disturb it.
	evacuationStep = time.Second
)

// The kinds of faults of a data centre.
const (
	evacuateKind = "evacuate"
	withdrawKind = "withdraw"
)

// planEvacuations returns the evacuations and their withdrawals. The time limit
// holds for instances that are in touch with the store. No request is therefore
// made while the store or its connections have a fault, or while an instance is
// frozen.
func planEvacuations(seed uint64, others []Fault, groups []*emul.Group, length time.Duration) []Fault {
	all := dataCentresOf(groups)
	if len(all) < 2 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed^evacuationStream, uint64(length)))
	var out []Fault
	for at, end := quietStart, length-quietEnd; at < end; {
		if isDisturbed(at, others) {
			at += evacuationStep
			continue
		}
		random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		count := 1
		if len(all) > 2 && random.IntN(pairInterval) == 0 {
			count = 2
		}
		span := minEvacuation + time.Duration(random.Int64N(int64(maxEvacuation-minEvacuation)))
		for _, dc := range all[:count] {
			out = append(out, Fault{At: at, Kind: evacuateKind, DataCentre: dc}, Fault{At: min(at+span, end), Kind: withdrawKind, DataCentre: dc})
		}
		at += span + time.Duration(random.ExpFloat64()*float64(meanEvacuationPause))
	}
	return out
}

// isDisturbed reports whether a fault may keep an instance from learning of a
// request in time.
func isDisturbed(at time.Duration, others []Fault) bool {
	storeFault, frozen := false, false
	for _, f := range others {
		toStore := f.concernsStore()
		switch {
		case toStore && f.At <= at-storeRecovery:
			storeFault = f.Kind != "storeup" && f.Kind != "clear" && f.Kind != "reset"
		case toStore && f.At < at+requestTime:
			return true
		case f.Kind == "freeze" && f.At <= at, f.Kind == "thaw" && f.At <= at:
			frozen = f.Kind == "freeze"
		case f.Kind == "freeze" && f.At < at+evacuationLimit:
			return true
		}
	}
	return storeFault || frozen
}

// dataCentresOf returns the data centres of all servers, in the order of the
// servers.
func dataCentresOf(groups []*emul.Group) []ident.DataCentre {
	var all []ident.DataCentre
	seen := map[ident.DataCentre]bool{"": true}
	for _, g := range groups {
		for _, s := range g.Servers() {
			if dc := s.DataCentre(); !seen[dc] {
				seen[dc] = true
				all = append(all, dc)
			}
		}
	}
	return all
}

// applyEvacuation applies a fault of a data centre.
func (d *Deployment) applyEvacuation(f Fault) {
	if f.Kind == evacuateKind {
		d.store.Evacuate(f.DataCentre)
		return
	}
	d.store.Withdraw(f.DataCentre)
}

// EvacuationReport is what the check of the evacuations found.
type EvacuationReport struct {
	Requests int
	// Late describes the statements that reached a server after the time limit.
	Late []string
	// Held counts those that a link had held since before the time limit.
	Held int
	// Overloaded describes the cold servers that received too many statements
	// after an evacuation.
	Overloaded []string
}

// CheckEvacuations checks that no statement reached a server of an evacuated
// data centre later than allowed, and no cold one received too many.
func (d *Deployment) CheckEvacuations() *EvacuationReport {
	r := &EvacuationReport{Requests: len(d.store.Evacuations()), Overloaded: d.store.CheckCold()}
	for _, late := range d.store.CheckEvacuations(evacuationLimit) {
		if d.links[late.Server].heldBefore(late.At, late.Allowed) {
			r.Held++
			continue
		}
		r.Late = append(r.Late, late.String())
	}
	return r
}

// Violations returns how often a limit was exceeded.
func (r *EvacuationReport) Violations() int { return len(r.Late) + len(r.Overloaded) }

// String returns the report, with one line for each violation.
func (r *EvacuationReport) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "evacuations %d, statements after the time limit %d, held on the way %d, cold servers overloaded %d\n", r.Requests, len(r.Late), r.Held, len(r.Overloaded))
	for _, text := range r.Late {
		fmt.Fprintln(&b, "violation: evacuated:", text)
	}
	for _, text := range r.Overloaded {
		fmt.Fprintln(&b, "violation: cold:", text)
	}
	return b.String()
}

// hold is a time in which a link held requests. until is zero while it lasts.
type hold struct{ since, until time.Time }

// recordHold records that the link begins or ends to hold requests. The caller
// holds the mutex.
func (l *link) recordHold(begins bool) {
	if begins {
		l.holds = append(l.holds, hold{since: time.Now()})
	} else {
		l.holds[len(l.holds)-1].until = time.Now()
	}
}

// heldBefore reports whether a request that arrived at a time may have been held
// by the link since before another time.
func (l *link) heldBefore(arrived, sent time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.holds, func(h hold) bool {
		return h.since.Before(sent) && !h.until.IsZero() && !arrived.Before(h.until) && arrived.Before(h.until.Add(heldDelay))
	})
}

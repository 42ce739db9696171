package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/lead"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// SetEvacuations replaces the set of evacuated data centres if it is newer.
// source is logged.
func (n *Node) SetEvacuations(e Evacuations, source string) {
	n.evacuationMu.Lock()
	defer n.evacuationMu.Unlock()
	now := clock.Now()
	n.mu.Lock()
	l := &n.evacuations
	before, first := l.revision, !l.ready()
	if !l.enabled || !l.replace(now, e) {
		n.mu.Unlock()
		return
	}
	revision, dataCentres, counts := l.revision, append([]ident.DataCentre{}, l.dataCentres...), n.countEndpoints()
	n.mu.Unlock()
	affected := 0
	for _, dc := range dataCentres {
		affected += counts[dc]
		if counts[dc] == 0 {
			trace.Event("EvacuationWithoutEndpoints", "DataCentre", dc, "Revision", revision)
		}
	}
	trace.Event("EvacuationsInForce", "Revision", revision, "Before", before, "Source", source, "DataCentres", dataCentres, "Endpoints", affected)
	n.updateDataCentres(now, dataCentres)
	n.passEndpoints(first)
	n.announceVersions() // the other instances may not be following the store
}

// countEndpoints returns the number of endpoints in each data centre. The caller
// holds the mutex.
func (n *Node) countEndpoints() map[ident.DataCentre]int {
	counts := make(map[ident.DataCentre]int)
	for _, e := range n.directoryEntries {
		counts[e.Endpoint.DataCentre]++
	}
	return counts
}

// passEndpoints passes the endpoints to all groups anew. first is set if they
// were withheld until now.
func (n *Node) passEndpoints(first bool) {
	n.directoryMu.Lock()
	defer n.directoryMu.Unlock()
	n.mu.Lock()
	runners := maps.Clone(n.runners)
	endpoints := n.allEndpoints()
	n.mu.Unlock()
	for g, r := range runners {
		if first {
			r.setEndpoints(endpoints[g])
		} else {
			r.setEvacuated(endpoints[g])
		}
	}
}

// setEvacuated updates which of the endpoints are evacuated.
func (rn *groupRunner) setEvacuated(all []sched.Endpoint) {
	var m lead.Evacuated
	rn.mu.Lock()
	for _, e := range all {
		rn.endpoints[e.ID] = e
		if e.Evacuated {
			m.Endpoints = append(m.Endpoints, e.ID)
		}
	}
	rn.mu.Unlock()
	rn.pool.SetEndpoints(all)
	rn.update(m)
}

// allEndpoints returns the endpoints of all groups for the runners. The caller
// holds the mutex.
func (n *Node) allEndpoints() map[ident.Group][]sched.Endpoint {
	all := make(map[ident.Group][]sched.Endpoint, len(n.endpoints))
	for g := range n.endpoints {
		all[g] = n.endpointsOf(g)
	}
	return all
}

// endpointsOf returns the endpoints of a group for its runner. There are none
// while the evacuations are not known, because nothing may reach an endpoint that
// was evacuated before this instance started. The caller holds the mutex.
func (n *Node) endpointsOf(g ident.Group) []sched.Endpoint {
	if !n.evacuations.ready() {
		return nil
	}
	all, coldTime := slices.Clone(n.endpoints[g]), n.catalog.Load().Groups[g].ColdTime
	for i := range all {
		all[i].Evacuated = n.evacuations.includes(all[i].DataCentre)
		if left := coldTime - n.evacuations.returns.age(clock.Now(), all[i].DataCentre); left > all[i].ColdLeft {
			all[i].ColdLeft = left
		}
	}
	return all
}

// proceedWithoutEvacuations lets the instance serve without the set once it has
// waited long enough for it.
func (n *Node) proceedWithoutEvacuations(now time.Time) {
	n.mu.Lock()
	due := n.evacuations.proceed(now, n.catalog.Load().Version > 0)
	n.mu.Unlock()
	if due {
		trace.Event("EvacuationsUnknown", "Waited", evacuationsWait.String())
		n.passEndpoints(true)
	}
}

// Evacuated returns the data centres that are known to be evacuated.
func (n *Node) Evacuated() []ident.DataCentre {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.evacuations.dataCentres)
}

func (n *Node) sendEvacuations(to ident.Instance, m peer.EvacuationRequest) {
	n.mu.Lock()
	list := peer.EvacuationList{Revision: n.evacuations.revision, DataCentres: slices.Clone(n.evacuations.dataCentres)}
	n.mu.Unlock()
	if list.Revision > m.Revision {
		n.mesh.Offer(to, list)
	}
}

// receiveEvacuations applies a set of another instance. A set without a revision is
// invalid and ignored, because an instance that knows no set sends none.
func (n *Node) receiveEvacuations(from ident.Instance, m peer.EvacuationList) {
	if m.Revision != 0 {
		n.SetEvacuations(Evacuations{Revision: m.Revision, DataCentres: m.DataCentres}, string(from))
	}
}

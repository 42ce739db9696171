package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/internal/evac"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// updateDataCentres passes the set of evacuated data centres to the tracker.
func (n *Node) updateDataCentres(now time.Time, requested []ident.DataCentre) {
	n.mu.Lock()
	changes := n.dataCentres.Update(now, evac.Requested{DataCentres: requested})
	n.mu.Unlock()
	reportDataCentres(changes)
}

// trackDataCentres passes the number of connections to each data centre to the
// tracker.
func (n *Node) trackDataCentres(now time.Time) {
	n.mu.Lock()
	if !n.dataCentres.Active() {
		n.mu.Unlock()
		return
	}
	m := evac.Connections{Count: make(map[ident.DataCentre]int)}
	dataCentres := make(map[ident.Endpoint]ident.DataCentre, len(n.directoryEntries))
	for _, e := range n.directoryEntries {
		dataCentres[e.Endpoint.ID] = e.Endpoint.DataCentre
	}
	for _, limits := range n.catalog.Load().Groups {
		m.ColdTime = max(m.ColdTime, limits.ColdTime)
	}
	for _, r := range n.runners {
		r.pool.countConns(dataCentres, m.Count)
	}
	changes := n.dataCentres.Update(now, m)
	n.mu.Unlock()
	reportDataCentres(changes)
}

// countConns adds the connections to the endpoints of each data centre to count.
func (p *GroupPool) countConns(dataCentres map[ident.Endpoint]ident.DataCentre, count map[ident.DataCentre]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		if dc, ok := dataCentres[c.endpoint]; ok {
			count[dc]++
		}
	}
}

func reportDataCentres(changes []evac.Changed) {
	for _, c := range changes {
		for s := range evac.State(evac.States) {
			name := fmt.Sprintf("marjoram_data_centre_state{data_centre=%q,state=%q}", c.DataCentre, s)
			value := 0.0
			if s == c.State {
				value = 1
			}
			metrics.GetOrCreateGauge(name, nil).Set(value)
		}
		if c.State == evac.Evacuated {
			trace.Event("DataCentreEmpty", "DataCentre", c.DataCentre, "Took", c.BeforeFor.String())
		}
	}
}

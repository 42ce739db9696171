package relay

import (
	"maps"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/lead"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// storeReturns counts the returns of the platform's store from an older copy.
var storeReturns = metrics.GetOrCreateCounter("marjoram_store_returns_total")

// SetDirectory replaces the list of endpoints if the revision is newer. source
// is logged.
func (n *Node) SetDirectory(revision ident.Revision, all []sched.DirectoryEntry, source string) {
	n.directoryMu.Lock()
	defer n.directoryMu.Unlock()
	entries := make(map[ident.Group][]sched.Endpoint)
	for _, l := range all {
		entries[l.Group] = append(entries[l.Group], l.Endpoint)
	}
	n.mu.Lock()
	if n.directoryLoaded && revision <= n.revision {
		n.mu.Unlock()
		return
	}
	n.directoryFetch.Received(clock.Now(), revision)
	before := n.revision
	n.directoryEntries, n.revision, n.endpoints, n.directoryLoaded = all, revision, entries, true
	for g, all := range entries {
		if dc, ok := primaryDataCentre(all); ok {
			n.locations.Observe(clock.Now(), g, dc)
		}
	}
	runners := maps.Clone(n.runners)
	endpoints := n.allEndpoints()
	n.mu.Unlock()
	trace.Event("DirectoryInForce", "Revision", revision, "Before", before, "Source", source, "Endpoints", len(all))
	for g, r := range runners {
		r.setEndpoints(endpoints[g])
		if before != 0 && revision.Era() > before.Era() {
			r.update(lead.RecordLost{})
		}
	}
	if before != 0 && revision.Era() > before.Era() {
		trace.Event("StoreReturnedFromCopy", "Era", revision.Era(), "Before", before.Era())
		storeReturns.Inc()
	}
	n.announceVersions() // the other instances may not be following the store
}

// Directory returns the endpoints of all groups. The caller must not change
// them.
func (n *Node) Directory() []sched.DirectoryEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.directoryEntries
}

// Draining reports whether an endpoint is known to be draining.
func (n *Node) Draining(id ident.Endpoint) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.directoryEntries, func(e sched.DirectoryEntry) bool { return e.Endpoint.ID == id && e.Endpoint.Draining })
}

// primaryDataCentre returns the data centre of the only primary that is not
// draining. It returns false if there is none or more than one.
func primaryDataCentre(all []sched.Endpoint) (ident.DataCentre, bool) {
	primaries := 0
	var dc ident.DataCentre
	for _, e := range all {
		if e.IsPrimary && !e.Draining {
			primaries++
			dc = e.DataCentre
		}
	}
	return dc, primaries == 1
}

func (n *Node) sendDirectory(to ident.Instance, m peer.DirectoryRequest) {
	n.mu.Lock()
	d := peer.Directory{Revision: n.revision, Listings: n.directoryEntries}
	n.mu.Unlock()
	if d.Revision > m.Revision {
		n.mesh.Offer(to, d)
	}
}

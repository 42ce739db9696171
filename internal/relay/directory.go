package relay

import (
	"maps"
	"slices"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/fleet"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// watchers is how many instances follow the store closely, so that a feed that
// went silent is noticed; the others hear of changes from them.
const watchers = 8

// SetDirectory replaces the list of endpoints if it is newer. Source says where
// it came from, for the log.
func (n *Node) SetDirectory(revision ident.Revision, all []sched.Listing, source string) {
	n.directing.Lock()
	defer n.directing.Unlock()
	entries := make(map[ident.Group][]sched.Endpoint)
	for _, l := range all {
		entries[l.Group] = append(entries[l.Group], l.Endpoint)
	}
	n.mu.Lock()
	if n.loaded && revision <= n.revision {
		n.mu.Unlock()
		return
	}
	n.directoryFetch.got(revision)
	before := n.revision
	n.listings, n.revision, n.entries, n.loaded = all, revision, entries, true
	for g, all := range entries {
		if dc, ok := primaryOf(all); ok {
			n.places.Observe(clock.Now(), g, dc)
		}
	}
	keepers := maps.Clone(n.keepers)
	n.mu.Unlock()
	trace.Event("DirectoryInForce", "Revision", revision, "Before", before, "Source", source, "Endpoints", len(all))
	for g, k := range keepers {
		k.setEndpoints(entries[g])
	}
	if n.FollowsStore() {
		n.pulse() // the others may not hear of it from the store
		return
	}
	n.assign()
}

// Draining reports whether an endpoint is known to be leaving.
func (n *Node) Draining(id ident.Endpoint) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.listings, func(l sched.Listing) bool { return l.Endpoint.ID == id && l.Endpoint.Draining })
}

// primaryOf returns the data centre of the only endpoint that leads and stays.
func primaryOf(all []sched.Endpoint) (ident.DataCentre, bool) {
	leads := 0
	var dc ident.DataCentre
	for _, e := range all {
		if e.IsPrimary && !e.Draining {
			leads++
			dc = e.DataCentre
		}
	}
	return dc, leads == 1
}

func (n *Node) giveDirectory(to ident.Instance, m peer.DirectoryRequest) {
	n.mu.Lock()
	d := peer.Directory{Revision: n.revision, Listings: n.listings}
	n.mu.Unlock()
	if d.Revision > m.Revision {
		n.mesh.Offer(to, d)
	}
}

// FollowsStore reports whether this instance is one of those that follow the
// store closely.
func (n *Node) FollowsStore() bool {
	r := n.view.Load().roster
	live := append(n.mesh.Connected(), n.config.Self.Instance)
	return r.Count() <= watchers || fleet.RankOf("watch", live, n.config.Self.Instance) < watchers
}

package roster

import (
	"maps"
	"math"
	"slices"

	"github.com/marjoramrudder/marjoramrudder/internal/fleet"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// fullMeshLimit is the largest number of instances that are all linked to
	// each other. Every instance is a hub in such a fleet.
	fullMeshLimit = 24
	// weakHubs is the number of hubs in a data centre of which no instance with
	// enough capacity to own a group is available.
	weakHubs = 2
	// minHubLimit is the number of hubs to which a small data centre is limited.
	minHubLimit = 4
	// hubRankKey is the key by which instances of equal capacity are ranked.
	hubRankKey = "hub"
)

// Link is a planned link to another instance.
type Link struct {
	Peer Member
	// Mutual is set if the peer plans the link as well, because both are hubs.
	// One side should then wait for the other to open it.
	Mutual bool
}

// topology is the result of ranking the members: the hubs of each data centre
// and the planned links. Hubs own groups and quotas, so an instance needs links
// to hubs only. Instances with the same view compute the same hubs.
type topology struct {
	hubs   []ident.Instance // sorted by data centre, then by rank
	isHub  map[ident.Instance]bool
	links  []Link
	ranked []rankedDataCentre // sorted by name
}

// rankedDataCentre holds the members of a data centre, the preferred first.
type rankedDataCentre struct {
	strong []ident.Instance // with enough capacity to own a group
	weak   []ident.Instance
	limit  int // maximum number of hubs
}

// Hubs returns the hubs, sorted by data centre. The caller must not change the
// slice.
func (r *Roster) Hubs() []ident.Instance {
	r.refresh()
	return r.topology.hubs
}

// IsHub reports whether n is a hub.
func (r *Roster) IsHub(n ident.Instance) bool {
	r.refresh()
	return r.topology.isHub[n]
}

// FullMesh reports whether the fleet is small enough for every instance to be
// linked to every other one.
func (r *Roster) FullMesh() bool { return len(r.members) <= fullMeshLimit }

// Links returns the links that this instance has to keep: to every hub, and to
// instances that would be hubs if they could be reached.
func (r *Roster) Links() []Link {
	r.refresh()
	return r.topology.links
}

// refresh recomputes the topology after a change of the roster.
func (r *Roster) refresh() {
	if r.topology.isHub != nil {
		return
	}
	t := topology{isHub: make(map[ident.Instance]bool), ranked: r.topology.ranked}
	if t.ranked == nil {
		t.ranked = r.rankMembers()
	}
	for _, dc := range t.ranked {
		if r.chooseHubs(&t, dc.strong, dc.limit) == 0 {
			r.chooseHubs(&t, dc.weak, weakHubs)
		}
	}
	for i := range t.links {
		t.links[i].Mutual = t.isHub[r.self] && t.isHub[t.links[i].Peer.Instance]
	}
	r.topology = t
}

// chooseHubs adds the first available candidates as hubs, up to limit, and the
// links to them. The candidates that were passed over are dialled as well, until
// they return. It returns the number of hubs.
func (r *Roster) chooseHubs(t *topology, candidates []ident.Instance, limit int) int {
	chosen := 0
	for _, n := range candidates {
		if chosen == limit {
			break
		}
		if n != r.self {
			t.links = append(t.links, Link{Peer: r.members[n]})
		}
		if r.available(n) {
			t.hubs = append(t.hubs, n)
			t.isHub[n] = true
			chosen++
		}
	}
	return chosen
}

// available reports whether an instance may be a hub. An instance to which no
// link has been tried yet may be one, one that others may not know may not.
func (r *Roster) available(n ident.Instance) bool {
	if r.unlisted[n] {
		return false
	}
	if n == r.self {
		return !r.state.Leaving
	}
	_, lost := r.lost[n]
	return !lost && !r.states[n].Leaving
}

// rankMembers ranks the members of each data centre.
func (r *Roster) rankMembers() []rankedDataCentre {
	largest := 0.0
	byDataCentre := make(map[ident.DataCentre][]ident.Instance)
	for n, m := range r.members {
		largest = max(largest, m.Capacity)
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], n)
	}
	var out []rankedDataCentre
	for _, dc := range slices.Sorted(maps.Keys(byDataCentre)) {
		all := byDataCentre[dc]
		ranked := rankedDataCentre{limit: hubLimit(len(all))}
		if r.FullMesh() {
			out = append(out, rankedDataCentre{strong: slices.Sorted(slices.Values(all)), limit: len(all)})
			continue
		}
		for _, n := range fleet.Rank(hubRankKey, all) {
			if r.members[n].Capacity >= minCapacityShare*largest {
				ranked.strong = append(ranked.strong, n)
			} else {
				ranked.weak = append(ranked.weak, n)
			}
		}
		out = append(out, ranked)
	}
	return out
}

// hubLimit returns the maximum number of hubs in a data centre. It grows with
// the square root of the data centre's size, which bounds the links of all
// instances.
func hubLimit(size int) int {
	return max(minHubLimit, int(math.Ceil(math.Sqrt(float64(size))/2)))
}

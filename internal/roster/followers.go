package roster

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/fleet"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// storeFollowers is the number of instances that follow the store closely,
	// so that a stalled feed is noticed. The other instances learn of changes
	// from them.
	storeFollowers = 8
	// followerTimeout is how long a follower counts after its latest heartbeat:
	// two and a half intervals.
	followerTimeout = 2500 * time.Millisecond
	// followerRankKey is the key by which followers are ranked.
	followerRankKey = "watch"
)

// FollowsStore reports whether this instance has to follow the platform's store
// closely. In a large fleet, some hubs of each data centre do, so that no change
// has to be sent to another data centre. Hubs that have lost the store are
// passed over.
func (r *Roster) FollowsStore() bool {
	if len(r.members) <= storeFollowers {
		return true
	}
	candidates := []ident.Instance{r.self}
	if r.FullMesh() {
		candidates = append(candidates, r.Connected()...)
		return fleet.RankOf(followerRankKey, candidates, r.self) < storeFollowers
	}
	if !r.IsHub(r.self) {
		return false
	}
	dc := r.DataCentreOf(r.self)
	r.eachHub(func(n ident.Instance, s State) {
		if n != r.self && r.DataCentreOf(n) == dc && s.Store != StoreLost {
			candidates = append(candidates, n)
		}
	})
	perDataCentre := (storeFollowers + len(r.topology.ranked) - 1) / len(r.topology.ranked)
	return fleet.RankOf(followerRankKey, candidates, r.self) < perDataCentre
}

// Heard records a heartbeat of n.
func (r *Roster) Heard(now time.Time, n ident.Instance) { r.heardAt[n] = now }

// HasFollower reports whether a connected instance has recently reported that it
// follows the store. This instance then needs no calls of its own.
func (r *Roster) HasFollower(now time.Time) bool {
	for n, s := range r.states {
		if s.Store == Following && now.Sub(r.heardAt[n]) < followerTimeout {
			return true
		}
	}
	return false
}

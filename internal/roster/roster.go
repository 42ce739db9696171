// Package roster assigns groups and accounts to instances, and decides which
// instances are linked. It stores which instances exist, which are connected and
// the state that each reports.
// Instances with the same view assign the same owners without coordination.
// While views differ, some work is done by two instances, which costs more but
// stays correct. It does no I/O.
package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/fleet"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Member is an instance of the fleet, connected or not.
type Member struct {
	Instance   ident.Instance
	DataCentre ident.DataCentre
	Address    string
	Start      int64
	// Capacity is the processor capacity of the instance in cores.
	Capacity float64
}

// State is the state that an instance reports.
type State struct {
	Version ident.Version
	// Serving is set once the instance is ready to own groups.
	Serving bool
	Leaving bool
	// UnreachableGroups lists the groups whose primary only this instance can't
	// reach.
	UnreachableGroups []ident.Group
	// Store is how the instance follows the platform's store.
	Store StoreState
}

// StoreState is an instance's relation to the platform's store.
type StoreState uint8

// The states.
const (
	// NotFollowing means that the instance relies on its peers.
	NotFollowing StoreState = iota
	// Following means that the instance follows the store closely and that its
	// latest calls succeeded.
	Following
	// StoreLost means that the instance can't reach the store.
	StoreLost
)

func (s State) equal(o State) bool {
	return s.Version == o.Version && s.Serving == o.Serving && s.Leaving == o.Leaving && s.Store == o.Store &&
		slices.Equal(s.UnreachableGroups, o.UnreachableGroups)
}

// Roster is one instance's view of the fleet. It is not safe for concurrent
// use.
type Roster struct {
	self      ident.Instance
	state     State
	members   map[ident.Instance]Member
	connected map[ident.Instance]bool
	states    map[ident.Instance]State
	heardAt   map[ident.Instance]time.Time // when the latest heartbeat arrived
	lost      map[ident.Instance]lossKind  // disconnected or never reached
	unlisted  map[ident.Instance]bool      // not yet known to all instances
	topology  topology                     // zero after a change until the next refresh
}

// lossKind is what is known about an instance that can't be reached.
type lossKind uint8

const (
	lostSilent  lossKind = iota // the process may still be running
	lostStopped                 // the process ended
)

// New returns a roster that contains only self.
func New(self Member) *Roster {
	return &Roster{
		self:      self.Instance,
		members:   map[ident.Instance]Member{self.Instance: self},
		connected: make(map[ident.Instance]bool),
		states:    make(map[ident.Instance]State),
		heardAt:   make(map[ident.Instance]time.Time),
		lost:      make(map[ident.Instance]lossKind),
		unlisted:  make(map[ident.Instance]bool),
	}
}

// Clone returns an independent copy.
func (r *Roster) Clone() *Roster {
	r.refresh() // the copy may be read concurrently
	c := *r
	c.members, c.connected, c.states = maps.Clone(r.members), maps.Clone(r.connected), maps.Clone(r.states)
	c.lost, c.heardAt, c.unlisted = maps.Clone(r.lost), maps.Clone(r.heardAt), maps.Clone(r.unlisted)
	return &c
}

// Add adds or replaces a member. It reports whether the member is new or has a
// new address.
func (r *Roster) Add(m Member) bool {
	old, known := r.members[m.Instance]
	if m.Instance == r.self || known && old.Start >= m.Start {
		return false
	}
	r.members[m.Instance] = m
	delete(r.lost, m.Instance) // the process is new
	r.topology = topology{}
	return !known || old.Address != m.Address
}

// Has reports whether n is a member.
func (r *Roster) Has(n ident.Instance) bool {
	_, known := r.members[n]
	return known
}

// Remove removes a member.
func (r *Roster) Remove(n ident.Instance) {
	if n == r.self {
		return
	}
	delete(r.members, n)
	delete(r.states, n)
	delete(r.connected, n)
	delete(r.heardAt, n)
	delete(r.lost, n)
	delete(r.unlisted, n)
	r.topology = topology{}
}

// SetUnlisted records whether an instance may be unknown to others. It is no hub
// as long as it is, because the others would not ask it.
func (r *Roster) SetUnlisted(n ident.Instance, unlisted bool) {
	if r.unlisted[n] == unlisted {
		return
	}
	delete(r.unlisted, n)
	if unlisted {
		r.unlisted[n] = true
	}
	r.availabilityChanged()
}

// Members returns all members sorted by name, including self.
func (r *Roster) Members() []Member {
	out := make([]Member, 0, len(r.members))
	for _, n := range slices.Sorted(maps.Keys(r.members)) {
		out = append(out, r.members[n])
	}
	return out
}

// Count returns the number of members, including self.
func (r *Roster) Count() int { return len(r.members) }

// SetConnected records that the link to n opened or was lost. silent is set for
// a link that timed out: n may still be running. A link that was closed means
// that the process of n ended.
func (r *Roster) SetConnected(n ident.Instance, connected, silent bool) {
	r.availabilityChanged()
	delete(r.lost, n)
	if connected {
		r.connected[n] = true
		return
	}
	delete(r.connected, n)
	delete(r.states, n)
	delete(r.heardAt, n)
	r.lost[n] = lostStopped
	if silent {
		r.lost[n] = lostSilent
	}
}

// SetUnreachable records that n could not be dialled. It reports whether that
// is news.
func (r *Roster) SetUnreachable(n ident.Instance) bool {
	_, lost := r.lost[n]
	if lost || r.connected[n] || !r.Has(n) {
		return false
	}
	r.lost[n] = lostSilent
	r.availabilityChanged()
	return true
}

// availabilityChanged makes the next refresh choose the hubs anew from the same
// ranking.
func (r *Roster) availabilityChanged() { r.topology.isHub = nil }

// IsConnected reports whether n is connected.
func (r *Roster) IsConnected(n ident.Instance) bool { return r.connected[n] }

// SetState records the state that n reports. It reports whether the state
// changed.
func (r *Roster) SetState(n ident.Instance, s State) bool {
	old, known := r.states[n]
	if !r.connected[n] || known && old.equal(s) {
		return false
	}
	r.states[n] = s
	if old.Leaving != s.Leaving {
		r.availabilityChanged()
	}
	return true
}

// Connected returns the connected instances.
func (r *Roster) Connected() []ident.Instance { return slices.Collect(maps.Keys(r.connected)) }

// DataCentreOf returns the data centre of n, or an empty name if n is unknown.
func (r *Roster) DataCentreOf(n ident.Instance) ident.DataCentre { return r.members[n].DataCentre }

// Self returns the state of this instance.
func (r *Roster) Self() State { return r.state }

// SetSelf replaces the state of this instance.
func (r *Roster) SetSelf(s State) {
	if r.state.Leaving != s.Leaving {
		r.availabilityChanged()
	}
	r.state = s
}

// isolatedShare is the fraction of their even share that instances use when
// they may be cut off from the majority. Accounts may then have a second quota
// owner.
const isolatedShare = 0.5

// MostConnected reports whether a majority of the instances is connected.
func (r *Roster) MostConnected() bool {
	return len(r.members) > 1 && 2*(len(r.connected)+1) > len(r.members)
}

// QuotaShare returns the fraction of an account's rate that a quota owner on
// this instance may grant. It is one while at least half of the instances are
// connected or known to have ended.
func (r *Roster) QuotaShare() float64 {
	reached, known := 1, 1
	for n := range r.members {
		if n == r.self {
			continue
		}
		if r.connected[n] {
			reached++
		}
		if kind, lost := r.lost[n]; r.connected[n] || lost && kind == lostStopped {
			known++
		}
	}
	if 2*known >= len(r.members) {
		return 1
	}
	return isolatedShare * float64(reached) / float64(len(r.members))
}

// minCapacityShare is the fraction of the largest capacity that an instance
// needs to own a group. All work of the group passes through its owner.
const minCapacityShare = 0.5

// Owner returns the hub that owns a group. It excludes the instances to avoid
// and those with little capacity, and prefers the data centre of the group's
// primary. It is self if no hub is eligible.
func (r *Roster) Owner(g ident.Group, preferred ident.DataCentre, avoid ...ident.Instance) ident.Instance {
	eligible := func(n ident.Instance, s State) bool {
		return s.Serving && !s.Leaving && !slices.Contains(s.UnreachableGroups, g) && !slices.Contains(avoid, n)
	}
	key := "group/" + string(g)
	local := func(n ident.Instance, s State) bool { return r.members[n].DataCentre == preferred && eligible(n, s) }
	if n, ok := r.highestRanked(key, r.withCapacity(local)); ok {
		return n
	}
	n, _ := r.highestRanked(key, r.withCapacity(eligible))
	return n
}

// withCapacity restricts eligible to the instances with enough capacity.
func (r *Roster) withCapacity(eligible func(ident.Instance, State) bool) func(ident.Instance, State) bool {
	largest := 0.0
	r.eachHub(func(n ident.Instance, s State) {
		if eligible(n, s) {
			largest = max(largest, r.members[n].Capacity)
		}
	})
	return func(n ident.Instance, s State) bool {
		return r.members[n].Capacity >= minCapacityShare*largest && eligible(n, s)
	}
}

// eachHub visits the hubs that have reported their state and are connected, or
// are this instance.
func (r *Roster) eachHub(visit func(ident.Instance, State)) {
	for _, n := range r.Hubs() {
		if n == r.self {
			visit(n, r.state)
		} else if s, known := r.states[n]; known {
			visit(n, s)
		}
	}
}

// QuotaOwner returns the hub that holds an account's bucket, or self if no hub
// is eligible.
func (r *Roster) QuotaOwner(a ident.Account) ident.Instance {
	eligible := func(_ ident.Instance, s State) bool { return s.Serving && !s.Leaving }
	n, _ := r.highestRanked("account/"+string(a), r.withCapacity(eligible))
	return n
}

// Witnesses returns the connected hubs with enough capacity to own a group.
// They are asked whether they reach a primary.
func (r *Roster) Witnesses() []ident.Instance {
	var out []ident.Instance
	able := r.withCapacity(func(_ ident.Instance, s State) bool { return s.Serving })
	r.eachHub(func(n ident.Instance, s State) {
		if n != r.self && able(n, s) {
			out = append(out, n)
		}
	})
	return out
}

// highestRanked returns the eligible instance with the highest rank for key. If
// there is none, it returns self and false.
func (r *Roster) highestRanked(key string, eligible func(ident.Instance, State) bool) (n ident.Instance, ok bool) {
	n = r.self
	r.eachHub(func(o ident.Instance, s State) {
		if eligible(o, s) && (!ok || fleet.Prefers(key, o, n)) {
			n, ok = o, true
		}
	})
	return n, ok
}

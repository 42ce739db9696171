// Package roster decides which instance does what: it keeps who exists, who is
// in touch and what each says of itself, and names for every group and account
// the instance that serves it. Instances that see the same others agree without
// talking; where they disagree for a moment, work is done twice as dear but not
// wrongly. It does no I/O.
package roster

import (
	"maps"
	"slices"

	"github.com/marjoramrudder/marjoramrudder/internal/fleet"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Member is one instance that exists, in touch or not.
type Member struct {
	Instance   ident.Instance
	DataCentre ident.DataCentre
	Address    string
	Start      int64
	// Capacity is the processor that the instance has, in cores.
	Capacity float64
}

// State is what an instance says of itself.
type State struct {
	Version ident.Version
	// Serving is set once the instance has what it needs to serve groups.
	Serving bool
	Leaving bool
	// UnreachableGroups lists groups whose primary this instance alone can't
	// reach.
	UnreachableGroups []ident.Group
}

func (s State) equal(o State) bool {
	return s.Version == o.Version && s.Serving == o.Serving && s.Leaving == o.Leaving && slices.Equal(s.UnreachableGroups, o.UnreachableGroups)
}

// Roster is one instance's view of all. It is not safe for concurrent use.
type Roster struct {
	self    ident.Instance
	own     State
	members map[ident.Instance]Member
	up      map[ident.Instance]bool
	states  map[ident.Instance]State
	ended   map[ident.Instance]bool // out of touch because the process ended
}

// New returns a roster that knows only self.
func New(self Member) *Roster {
	return &Roster{
		self:    self.Instance,
		members: map[ident.Instance]Member{self.Instance: self},
		up:      make(map[ident.Instance]bool),
		states:  make(map[ident.Instance]State),
		ended:   make(map[ident.Instance]bool),
	}
}

// Clone returns a copy that does not change with r.
func (r *Roster) Clone() *Roster {
	c := *r
	c.members, c.up, c.states, c.ended = maps.Clone(r.members), maps.Clone(r.up), maps.Clone(r.states), maps.Clone(r.ended)
	return &c
}

// Add adds or replaces a member. It reports whether anything changed.
func (r *Roster) Add(m Member) bool {
	old, known := r.members[m.Instance]
	if m.Instance == r.self || known && old.Start >= m.Start {
		return false
	}
	r.members[m.Instance] = m
	return !known || old.Address != m.Address
}

// Remove removes a member that is gone for good.
func (r *Roster) Remove(n ident.Instance) {
	if n == r.self {
		return
	}
	delete(r.members, n)
	delete(r.states, n)
	delete(r.up, n)
	delete(r.ended, n)
}

// Members returns all members in order, self included.
func (r *Roster) Members() []Member {
	out := make([]Member, 0, len(r.members))
	for _, n := range slices.Sorted(maps.Keys(r.members)) {
		out = append(out, r.members[n])
	}
	return out
}

// Count returns how many instances exist, self included.
func (r *Roster) Count() int { return len(r.members) }

// SetConnected takes a link to n that opened, or that was lost. A link that was
// lost in silence leaves it open whether the other still runs; one that was
// closed tells that its process ended.
func (r *Roster) SetConnected(n ident.Instance, up, silent bool) {
	delete(r.ended, n)
	if up {
		r.up[n] = true
		return
	}
	delete(r.up, n)
	delete(r.states, n)
	r.ended[n] = !silent
}

// IsConnected reports whether n is in touch.
func (r *Roster) IsConnected(n ident.Instance) bool { return r.up[n] }

// SetState takes what n says of itself. It reports whether that is new.
func (r *Roster) SetState(n ident.Instance, s State) bool {
	old, known := r.states[n]
	if !r.up[n] || known && old.equal(s) {
		return false
	}
	r.states[n] = s
	return true
}

// Self returns what this instance says of itself.
func (r *Roster) Self() State { return r.own }

// SetSelf replaces what this instance says of itself.
func (r *Roster) SetSelf(s State) { r.own = s }

// aloneShare is the part of their even share that instances use which may be
// cut off from most others, where accounts may have a second keeper.
const aloneShare = 0.5

// MostConnected reports whether most instances are in touch.
func (r *Roster) MostConnected() bool {
	return len(r.members) > 1 && 2*(len(r.up)+1) > len(r.members)
}

// QuotaShare returns which part of an account's rate a keeper here may grant:
// all of it while most instances are in touch or known to have ended.
func (r *Roster) QuotaShare() float64 {
	reached, known := 1, 1
	for n := range r.members {
		if n == r.self {
			continue
		}
		if r.up[n] {
			reached++
		}
		if r.up[n] || r.ended[n] {
			known++
		}
	}
	if 2*known >= len(r.members) {
		return 1
	}
	return aloneShare * float64(reached) / float64(len(r.members))
}

// strongShare is the part of the largest capacity that an instance needs to
// hold a group's connections, where the instances differ: all the group's work
// passes through it.
const strongShare = 0.5

// Owner returns the instance that holds the connections of a group, other than
// those to avoid: a strong one in the data centre that the group's primary is
// in, if there is any. It is self when no other will do.
func (r *Roster) Owner(g ident.Group, near ident.DataCentre, avoid ...ident.Instance) ident.Instance {
	fit := func(n ident.Instance, s State) bool {
		return s.Serving && !s.Leaving && !slices.Contains(s.UnreachableGroups, g) && !slices.Contains(avoid, n)
	}
	key := "group/" + string(g)
	inside := func(n ident.Instance, s State) bool { return r.members[n].DataCentre == near && fit(n, s) }
	if n, ok := r.first(key, r.strong(inside)); ok {
		return n
	}
	n, _ := r.first(key, r.strong(fit))
	return n
}

// strong narrows fit to the instances of large capacity.
func (r *Roster) strong(fit func(ident.Instance, State) bool) func(ident.Instance, State) bool {
	most := 0.0
	r.each(func(n ident.Instance, s State) {
		if fit(n, s) {
			most = max(most, r.members[n].Capacity)
		}
	})
	return func(n ident.Instance, s State) bool {
		return r.members[n].Capacity >= strongShare*most && fit(n, s)
	}
}

// each visits the instances that are in touch and have told of themselves, and
// self.
func (r *Roster) each(visit func(ident.Instance, State)) {
	visit(r.self, r.own)
	for n := range r.up {
		if s, known := r.states[n]; known {
			visit(n, s)
		}
	}
}

// QuotaOwner returns the instance that keeps an account's quota.
func (r *Roster) QuotaOwner(a ident.Account) ident.Instance {
	n, _ := r.first("account/"+string(a), func(_ ident.Instance, s State) bool { return s.Serving && !s.Leaving })
	return n
}

// first returns the instance that ranks first for key among those that fit. It
// is self, and ok false, when none does.
func (r *Roster) first(key string, fit func(ident.Instance, State) bool) (n ident.Instance, ok bool) {
	n = r.self
	r.each(func(o ident.Instance, s State) {
		if fit(o, s) && (!ok || fleet.Prefers(key, o, n)) {
			n, ok = o, true
		}
	})
	return n, ok
}

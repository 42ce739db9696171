package group

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// dataAgeValid is how long a data age that an endpoint reported is assumed to
// hold. A replica that keeps up reports about the same age each time.
const dataAgeValid = 2 * time.Second

// Requirements are the conditions that an endpoint must meet to serve one
// statement.
type Requirements struct {
	// Write requires the primary.
	Write bool
	// Floor is the log position that the data must cover; zero for none.
	Floor ident.LogPosition
	// MaxAge is the highest age of the data; zero allows any age.
	MaxAge time.Duration
	// Avoid holds the endpoints that have been tried already.
	Avoid Mask
	// DataCentre is the data centre to prefer.
	DataCentre ident.DataCentre
	// Load returns the statements in flight at an endpoint; nil for none.
	Load func(index int) int
	// Rotation spreads statements over equally good endpoints. Callers pass
	// a counter or a random number.
	Rotation uint32
}

// Choice is the endpoint selected for one statement.
type Choice struct {
	// Index is the endpoint's index in the View, or NoEndpoint.
	Index int
	// Term is the term in which the endpoint is expected to be.
	Term ident.Term
	// Role is the role in which the endpoint was chosen.
	Role Role
	// ExpectedFresh is false for a replica that was behind when last seen
	// and was chosen because no better endpoint was available.
	ExpectedFresh bool
}

var noChoice = Choice{Index: NoEndpoint}

// Choose returns the endpoint for one statement. A write goes to the primary.
// A read goes to the least loaded replica that is expected to meet floor and
// age, preferably in the same data centre; failing that to the primary if it
// is reachable; failing that to a replica that may have caught up since it was
// last seen. The endpoint itself checks floor and age.
func (v *View) Choose(need Requirements, now time.Time) Choice {
	if need.Write {
		return v.choosePrimary(&need)
	}
	if c := v.chooseReplica(&need, now, true); c.Index != NoEndpoint {
		return c
	}
	if c := v.choosePrimary(&need); c.Index != NoEndpoint && v.Endpoints[c.Index].Reachable {
		return c
	}
	if c := v.chooseReplica(&need, now, false); c.Index != NoEndpoint {
		return c
	}
	return v.choosePrimary(&need)
}

func (v *View) choosePrimary(need *Requirements) Choice {
	p := v.Primary
	if p == NoEndpoint || v.Endpoints[p].Leaving || need.Avoid.Has(p) {
		return noChoice
	}
	return Choice{Index: p, Term: v.Term, Role: PrimaryRole, ExpectedFresh: true}
}

func (v *View) chooseReplica(need *Requirements, now time.Time, expectFresh bool) Choice {
	best, lowest := NoEndpoint, 0
	count := len(v.Endpoints)
	if count == 0 {
		return noChoice
	}
	i := int(need.Rotation % uint32(count))
	for range count {
		if v.eligible(i, need) && (!expectFresh || v.satisfies(i, need, now)) {
			if c := v.cost(i, need); best == NoEndpoint || c < lowest {
				best, lowest = i, c
			}
		}
		if i++; i == count {
			i = 0
		}
	}
	return Choice{Index: best, Term: v.Term, Role: ReplicaRole, ExpectedFresh: expectFresh && best != NoEndpoint}
}

func (v *View) eligible(i int, need *Requirements) bool {
	s := &v.Endpoints[i]
	return i != v.Primary && s.Reachable && !s.Leaving && !need.Avoid.Has(i)
}

// satisfies reports whether the endpoint was a replica of the current term
// when last seen and is expected to meet floor and age.
func (v *View) satisfies(i int, need *Requirements, now time.Time) bool {
	s := &v.Endpoints[i]
	if s.Status.Term != v.Term || s.Status.Role != ReplicaRole {
		return false
	}
	if !s.Status.Last.Covers(need.Floor) && !v.likelyCaughtUp(s, need.Floor, now) {
		return false
	}
	return need.MaxAge == 0 || s.age(now) <= need.MaxAge
}

func (s *EndpointView) age(now time.Time) time.Duration {
	since := now.Sub(s.SeenAt)
	if since <= dataAgeValid {
		return s.Status.DataAge
	}
	return s.Status.DataAge + since
}

// cost returns the number of statements in flight at an endpoint. An endpoint
// in another data centre counts its slots on top, so that it is used only when
// the endpoints of the same data centre are full.
func (v *View) cost(i int, need *Requirements) int {
	s := &v.Endpoints[i]
	cost := 0
	if need.Load != nil {
		cost = need.Load(i)
	}
	if s.Endpoint.DataCentre != need.DataCentre {
		cost += max(s.Endpoint.Slots, 1)
	}
	return cost
}

package group

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// trustFor is how long a data age that an endpoint stated is taken as still
// true. A replica that keeps up has the same age at each look.
const trustFor = 2 * time.Second

// Requirements says what one statement asks of an endpoint.
type Requirements struct {
	// Write asks for the primary.
	Write bool
	// Floor is the mark that the data must cover; zero for none.
	Floor ident.LogPosition
	// MaxAge bounds the age of the data; zero allows any age.
	MaxAge time.Duration
	// Avoid holds the endpoints that were tried already.
	Avoid Mask
	// DataCentre is the data centre to prefer.
	DataCentre ident.DataCentre
	// Load returns the statements in flight at an endpoint; nil for none.
	Load func(index int) int
	// Turn spreads statements over endpoints that are equally good. A
	// counter or a random number serves.
	Turn uint32
}

// Choice is the endpoint chosen for one statement.
type Choice struct {
	// Index is the endpoint's place in the View, or NoEndpoint.
	Index int
	// Term is the term in which the endpoint is expected to work.
	Term ident.Term
	// Role is the role in which the endpoint was chosen.
	Role Role
	// Likely is false for a replica that was behind when last seen, chosen
	// for want of a better one.
	Likely bool
}

var noChoice = Choice{Index: NoEndpoint}

// Choose returns the endpoint for one statement. A write goes to the primary.
// A read goes to the least loaded replica that was far enough when last seen,
// a near one first; then to the primary; then to a replica that may have
// caught up meanwhile. The endpoint itself checks floor and age.
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
	return Choice{Index: p, Term: v.Term, Role: PrimaryRole, Likely: true}
}

func (v *View) chooseReplica(need *Requirements, now time.Time, likely bool) Choice {
	best, lowest := NoEndpoint, 0
	count := len(v.Endpoints)
	if count == 0 {
		return noChoice
	}
	i := int(need.Turn % uint32(count))
	for range count {
		if v.mayRead(i, need) && (!likely || v.covers(i, need, now)) {
			if c := v.cost(i, need); best == NoEndpoint || c < lowest {
				best, lowest = i, c
			}
		}
		if i++; i == count {
			i = 0
		}
	}
	return Choice{Index: best, Term: v.Term, Role: ReplicaRole, Likely: likely && best != NoEndpoint}
}

func (v *View) mayRead(i int, need *Requirements) bool {
	s := &v.Endpoints[i]
	return i != v.Primary && s.Reachable && !s.Leaving && !need.Avoid.Has(i)
}

// covers reports whether the endpoint followed the current term and met floor
// and age when last seen.
func (v *View) covers(i int, need *Requirements, now time.Time) bool {
	s := &v.Endpoints[i]
	if s.Status.Term != v.Term || s.Status.Role != ReplicaRole {
		return false
	}
	if !s.Status.Last.Covers(need.Floor) && !v.keepsUp(s, need.Floor, now) {
		return false
	}
	return need.MaxAge == 0 || s.age(now) <= need.MaxAge
}

func (s *EndpointView) age(now time.Time) time.Duration {
	since := now.Sub(s.SeenAt)
	if since <= trustFor {
		return s.Status.DataAge
	}
	return s.Status.DataAge + since
}

// cost ranks endpoints: the statements in flight, and for a distant endpoint
// as many more as a near one can run at once.
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

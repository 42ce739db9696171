package group

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// NoEndpoint is the index that stands for no endpoint.
const NoEndpoint = -1

// MaxEndpoints bounds the endpoints of a group, so that a Mask holds them all.
const MaxEndpoints = 64

// Mask is a set of endpoint indexes of one View.
type Mask uint64

// With returns the set with index added.
func (m Mask) With(index int) Mask { return m | 1<<uint(index) }

// Has reports whether the set holds index.
func (m Mask) Has(index int) bool { return m&(1<<uint(index)) != 0 }

// EndpointView is the state of one endpoint as an instance last saw it.
type EndpointView struct {
	Endpoint envdoc.Endpoint
	// Status is the endpoint's latest answer. It may be old, so it is used to
	// choose an endpoint, never as proof.
	Status Status
	// SeenAt is when the endpoint last answered; zero before the first answer.
	SeenAt time.Time
	// Reachable is false before the first answer and after a failed probe.
	Reachable bool
	// Leaving is true for an endpoint that is listed as leaving. It gets no
	// new requests.
	Leaving bool
}

// View is a snapshot of one group as one instance sees it. It never changes
// after it was published, so requests read it without a lock.
type View struct {
	Group ident.Group
	// Term is the highest term known. It never decreases from one View to
	// the next.
	Term ident.Term
	// Primary is the index of the primary of Term, or NoEndpoint.
	Primary int
	// Endpoints lists the endpoints in the order of the document.
	Endpoints []EndpointView
	// PositionHistory holds recent log positions of the primary, oldest
	// first.
	PositionHistory []PositionSample
}

// PositionSample is a log position that the primary had reached at the time At.
type PositionSample struct {
	At       time.Time
	Position ident.LogPosition
}

// Index returns the index of the named endpoint, or NoEndpoint.
func (v *View) Index(name ident.Endpoint) int {
	for i := range v.Endpoints {
		if v.Endpoints[i].Endpoint.Name == name {
			return i
		}
	}
	return NoEndpoint
}

// PrimaryName returns the name of the primary, empty when none is known.
func (v *View) PrimaryName() ident.Endpoint {
	if v.Primary == NoEndpoint {
		return ""
	}
	return v.Endpoints[v.Primary].Endpoint.Name
}

// Package group decides about one database group: which endpoint serves a
// statement, when its primary is lost, and how the next one is promoted. The
// deciding types are pure; the port Server is what they need of an endpoint.
package group

import (
	"context"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Role is what an endpoint does in its group.
type Role string

// The roles of an endpoint.
const (
	PrimaryRole Role = "primary"
	ReplicaRole Role = "replica"
)

// Status is what an endpoint says about itself.
type Status struct {
	Term ident.Term // the term it works in
	Role Role
	// Last is the mark of the last record in its log.
	Last ident.LogPosition
	// Confirmed is the highest position that a majority holds in Term. Only a
	// primary knows it; it is zero elsewhere.
	Confirmed ident.Position
	// DataAge is how far the data lags behind the primary's clock.
	DataAge time.Duration
	// PrimaryHeard is how long ago a replica last heard its primary.
	PrimaryHeard time.Duration
	// Sealed is the highest term the endpoint has sealed.
	Sealed ident.Term
}

// Server is the control side of one endpoint. Each call takes effect at most
// once; an error leaves its effect unknown. A call with a term at or below
// the endpoint's sealed term is refused with ErrSealed, except that Promote
// and Follow accept the sealed term itself.
type Server interface {
	Status(ctx context.Context) (Status, error)
	Seal(ctx context.Context, term ident.Term) (Status, error)
	Promote(ctx context.Context, term ident.Term) (Status, error)
	Follow(ctx context.Context, term ident.Term, primary string) error
}

// Package group monitors one database group: it decides which endpoint serves a
// statement, detects the loss of the primary and promotes the next one. Elector
// and View are pure; Monitor runs an Elector against the endpoints, which it
// calls through the interface Server.
package group

import (
	"context"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Role is the role of an endpoint in its group.
type Role string

// The roles of an endpoint.
const (
	PrimaryRole Role = "primary"
	ReplicaRole Role = "replica"
)

// Status is the state that an endpoint reports about itself.
type Status struct {
	Term ident.Term // the term in which it is primary or replica
	Role Role
	// Last is the log position of its last record.
	Last ident.LogPosition
	// Confirmed is the highest position of Term that a majority holds. Only a
	// primary knows it; it is zero on replicas.
	Confirmed ident.Position
	// DataAge is how far the data lags behind, by the primary's clock.
	DataAge time.Duration
	// PrimaryHeard is the time since a replica last received anything from
	// its primary.
	PrimaryHeard time.Duration
	// Sealed is the highest term the endpoint has sealed.
	Sealed ident.Term
}

// Server is the control interface of one endpoint. Each call takes effect at
// most once; after an error its effect is unknown. A call with a term at or
// below the endpoint's sealed term is refused with ErrSealed, except that
// Promote and Follow accept the sealed term itself.
type Server interface {
	Status(ctx context.Context) (Status, error)
	Seal(ctx context.Context, term ident.Term) (Status, error)
	Promote(ctx context.Context, term ident.Term) (Status, error)
	Follow(ctx context.Context, term ident.Term, primary string) error
}

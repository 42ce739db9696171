// Package acct decides about client accounts: whether a key is in force,
// whether a request is inside the account's rate and burst, and in which order
// the requests of several accounts are served. The deciding types are pure:
// they take the present time and an input and return outputs.
package acct

import (
	"context"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Identity is what a caller proved when it connected. It holds the hash of the
// key, never the key itself.
type Identity struct {
	Route   ident.Route
	Account ident.Account // empty on an open route
	KeyHash envdoc.KeyHash
}

// Admitter is what the request path asks about client accounts. Its methods are
// called for each statement: they take no process-wide lock, do not block and
// do not allocate when they allow. A refusal is a *fault.Error with outcome
// NotRun.
type Admitter interface {
	// Login checks the key that a caller shows when it connects.
	Login(route ident.Route, account ident.Account, key string, now time.Time) (Identity, error)
	// Check tells whether the badge is still good by the document in force.
	Check(badge *Identity, now time.Time) error
	// Spend takes one token of the account's quota. Badges of open routes
	// spend nothing.
	Spend(badge *Identity, now time.Time) error
	// SpendWait is Spend for a caller that can wait a few milliseconds while
	// other instances are asked for tokens. It blocks only for that time, and
	// only when this instance has no token. A small account has its tokens at
	// one or two instances; Spend refuses at the others until a token has
	// come, SpendWait fetches it.
	SpendWait(ctx context.Context, badge *Identity, now time.Time) error
	// Refund gives back the token of a request that ended not run.
	Refund(badge *Identity, now time.Time)
	// Weight returns the account's weight, 1 for callers of open routes.
	Weight(badge *Identity) int
}

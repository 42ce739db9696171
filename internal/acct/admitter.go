// Package acct authenticates client accounts, enforces their rates and bursts
// across all instances, and queues the requests of several accounts fairly. The
// decision logic is pure: it takes the current time and an input, and returns
// outputs.
package acct

import (
	"context"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Identity is what a caller proved at login. It holds the hash of the key,
// never the key itself.
type Identity struct {
	Route   ident.Route
	Account ident.Account // empty on an open route
	KeyHash envdoc.KeyHash
}

// Admitter decides whether requests of client accounts may run. Its methods are
// called for each statement: they take no process-wide lock, do not block and
// do not allocate when they admit the request. A refusal is a *fault.Error with
// outcome NotRun.
type Admitter interface {
	// Login checks the key that a caller presents when it connects.
	Login(route ident.Route, account ident.Account, key string, now time.Time) (Identity, error)
	// Check returns an error unless the identity is still valid under the
	// document in force.
	Check(identity *Identity, now time.Time) error
	// Spend takes one token of the account's quota. Identities of open routes
	// spend nothing.
	Spend(identity *Identity, now time.Time) error
	// SpendWait is Spend for a caller that can wait a few milliseconds while
	// this instance requests tokens from others. It blocks only for that time,
	// and only when this instance has no token. A small account has its tokens
	// at one or two instances; on the others Spend refuses until tokens have
	// been borrowed, while SpendWait waits for them.
	SpendWait(ctx context.Context, identity *Identity, now time.Time) error
	// Refund gives back the token of a request that did not run.
	Refund(identity *Identity, now time.Time)
	// Weight returns the account's weight, 1 for callers of open routes.
	Weight(identity *Identity) int
}

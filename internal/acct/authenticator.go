package acct

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// untrustedRetry is the retry delay of requests that are refused because the
// instance's document may be out of date.
const untrustedRetry = time.Second

// Authenticator checks keys and routes against the document in force. It is
// read on each request without a lock: a document is one immutable snapshot
// behind an atomic pointer. Its errors never contain a key.
type Authenticator struct {
	policy    atomic.Pointer[accessPolicy]
	untrusted atomic.Bool
}

// NewAuthenticator returns an Authenticator that refuses everything until Set.
func NewAuthenticator() *Authenticator { return &Authenticator{} }

// Set puts a document in force. The next Check of each identity uses it.
func (a *Authenticator) Set(document *envdoc.Document) { a.policy.Store(newAccessPolicy(document)) }

// SetTrusted sets whether this instance may still trust its document. While it
// may not, requests that need a key are refused with outcome NotRun.
func (a *Authenticator) SetTrusted(ok bool) { a.untrusted.Store(!ok) }

// Trusted returns the value last passed to SetTrusted, true before the first
// call.
func (a *Authenticator) Trusted() bool { return !a.untrusted.Load() }

// Login checks the key that a caller presents for a route. A wrong key and an
// account that does not exist give the same error.
func (a *Authenticator) Login(route ident.Route, account ident.Account, key string) (Identity, error) {
	identity := Identity{Route: route}
	p := a.policy.Load()
	if p != nil && p.isOpen(route) {
		return identity, nil
	}
	identity.Account = account
	identity.KeyHash = envdoc.HashKey(key)
	if err := a.check(p, &identity); err != nil {
		return Identity{}, err
	}
	return identity, nil
}

// Check returns an error unless the identity is still valid under the document
// in force. It does not allocate on success.
func (a *Authenticator) Check(identity *Identity) error { return a.check(a.policy.Load(), identity) }

func (a *Authenticator) check(p *accessPolicy, identity *Identity) error {
	if p == nil {
		return fault.Refuse(fault.NoPrimary, untrustedRetry, "no document is in force yet")
	}
	r, ok := p.routes[identity.Route]
	if !ok {
		return fault.Refuse(fault.NoRoute, 0, "route %q does not exist", identity.Route)
	}
	if r.open {
		return nil
	}
	if a.untrusted.Load() {
		return fault.Refuse(fault.NoPrimary, untrustedRetry, "this instance cannot verify keys at present")
	}
	account, ok := p.accounts[identity.Account]
	if !ok || !account.hasKey(identity.KeyHash) {
		return fault.Refuse(fault.BadKey, 0, "the key is not in force for this account")
	}
	if !r.allows(identity.Account) {
		return fault.Refuse(fault.NotAllowed, 0, "the account may not use route %q", identity.Route)
	}
	return nil
}

// IsOpen reports whether the document in force lets callers use the route
// without a key.
func (a *Authenticator) IsOpen(route ident.Route) bool {
	p := a.policy.Load()
	return p != nil && p.isOpen(route)
}

// Weight returns the account's weight, 1 for identities without an account.
func (a *Authenticator) Weight(identity *Identity) int {
	p := a.policy.Load()
	if p == nil {
		return 1
	}
	return max(1, p.accounts[identity.Account].weight)
}

// accessPolicy is a document indexed for lookups by requests.
type accessPolicy struct {
	routes   map[ident.Route]routePolicy
	accounts map[ident.Account]accountPolicy
}

func newAccessPolicy(document *envdoc.Document) *accessPolicy {
	p := &accessPolicy{
		routes:   make(map[ident.Route]routePolicy, len(document.Routes)),
		accounts: make(map[ident.Account]accountPolicy, len(document.Accounts)),
	}
	for _, r := range document.Routes {
		p.routes[r.Name] = newRoutePolicy(r)
	}
	for _, a := range document.Accounts {
		p.accounts[a.Name] = accountPolicy{keys: slices.Clone(a.Keys), weight: a.Weight}
	}
	return p
}

func (p *accessPolicy) isOpen(route ident.Route) bool { return p.routes[route].open }

type routePolicy struct {
	open     bool
	accounts map[ident.Account]struct{} // empty means every account
}

func newRoutePolicy(route envdoc.Route) routePolicy {
	r := routePolicy{open: route.Access == envdoc.Open}
	if len(route.Accounts) == 0 {
		return r
	}
	r.accounts = make(map[ident.Account]struct{}, len(route.Accounts))
	for _, a := range route.Accounts {
		r.accounts[a] = struct{}{}
	}
	return r
}

func (r routePolicy) allows(account ident.Account) bool {
	if len(r.accounts) == 0 {
		return true
	}
	_, ok := r.accounts[account]
	return ok
}

type accountPolicy struct {
	keys   []envdoc.KeyHash
	weight int
}

func (a accountPolicy) hasKey(hash envdoc.KeyHash) bool {
	found := false
	for _, k := range a.keys {
		if k.Equal(hash) {
			found = true
		}
	}
	return found
}

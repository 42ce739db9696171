package acct

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// untrustedRetry is when a caller may come back after a refusal because the
// instance cannot tell whether its document is still in force.
const untrustedRetry = time.Second

// Authenticator answers from the document in force which keys and routes are
// good. It is read on each request without a lock: a document is one immutable
// snapshot behind an atomic pointer. No error of Authenticator holds a key.
type Authenticator struct {
	rules     atomic.Pointer[rules]
	untrusted atomic.Bool
}

// NewAuthenticator returns a book that refuses everything until Set.
func NewAuthenticator() *Authenticator { return &Authenticator{} }

// Set puts a document in force. The next Check of each badge is by it.
func (b *Authenticator) Set(document *envdoc.Document) { b.rules.Store(newRules(document)) }

// SetTrusted tells whether this instance may still trust its document. While
// it may not, requests that need a key are refused as not run.
func (b *Authenticator) SetTrusted(ok bool) { b.untrusted.Store(!ok) }

// Trusted returns what SetTrusted said last, true before the first call.
func (b *Authenticator) Trusted() bool { return !b.untrusted.Load() }

// Login checks the key that a caller shows for a route. A key that is wrong
// and an account that does not exist give the same error.
func (b *Authenticator) Login(route ident.Route, account ident.Account, key string) (Identity, error) {
	badge := Identity{Route: route}
	p := b.rules.Load()
	if p != nil && p.open(route) {
		return badge, nil
	}
	badge.Account = account
	badge.KeyHash = envdoc.HashKey(key)
	if err := b.check(p, &badge); err != nil {
		return Identity{}, err
	}
	return badge, nil
}

// Check tells whether the badge is still good. It does not allocate when it
// allows.
func (b *Authenticator) Check(badge *Identity) error { return b.check(b.rules.Load(), badge) }

func (b *Authenticator) check(p *rules, badge *Identity) error {
	if p == nil {
		return fault.Refuse(fault.NoPrimary, untrustedRetry, "no document is in force yet")
	}
	r, ok := p.routes[badge.Route]
	if !ok {
		return fault.Refuse(fault.NoRoute, 0, "route %q does not exist", badge.Route)
	}
	if r.open {
		return nil
	}
	if b.untrusted.Load() {
		return fault.Refuse(fault.NoPrimary, untrustedRetry, "this instance cannot verify keys at present")
	}
	a, ok := p.accounts[badge.Account]
	if !ok || !a.holds(badge.KeyHash) {
		return fault.Refuse(fault.BadKey, 0, "the key is not in force for this account")
	}
	if !r.allows(badge.Account) {
		return fault.Refuse(fault.NotAllowed, 0, "the account may not use route %q", badge.Route)
	}
	return nil
}

// Open reports whether the route needs no key by the document in force.
func (b *Authenticator) Open(route ident.Route) bool {
	p := b.rules.Load()
	return p != nil && p.open(route)
}

// Weight returns the account's weight, 1 for badges without an account.
func (b *Authenticator) Weight(badge *Identity) int {
	p := b.rules.Load()
	if p == nil {
		return 1
	}
	return max(1, p.accounts[badge.Account].weight)
}

// rules are one document in the form that a request needs.
type rules struct {
	routes   map[ident.Route]routeRule
	accounts map[ident.Account]accountRule
}

func newRules(document *envdoc.Document) *rules {
	p := &rules{
		routes:   make(map[ident.Route]routeRule, len(document.Routes)),
		accounts: make(map[ident.Account]accountRule, len(document.Accounts)),
	}
	for _, r := range document.Routes {
		p.routes[r.Name] = newRouteRule(r)
	}
	for _, a := range document.Accounts {
		p.accounts[a.Name] = accountRule{keys: slices.Clone(a.Keys), weight: a.Weight}
	}
	return p
}

func (p *rules) open(route ident.Route) bool { return p.routes[route].open }

type routeRule struct {
	open     bool
	accounts map[ident.Account]struct{} // empty means every account
}

func newRouteRule(route envdoc.Route) routeRule {
	r := routeRule{open: route.Access == envdoc.Open}
	if len(route.Accounts) == 0 {
		return r
	}
	r.accounts = make(map[ident.Account]struct{}, len(route.Accounts))
	for _, a := range route.Accounts {
		r.accounts[a] = struct{}{}
	}
	return r
}

func (r routeRule) allows(account ident.Account) bool {
	if len(r.accounts) == 0 {
		return true
	}
	_, ok := r.accounts[account]
	return ok
}

type accountRule struct {
	keys   []envdoc.KeyHash
	weight int
}

func (a accountRule) holds(hash envdoc.KeyHash) bool {
	found := false
	for _, k := range a.keys {
		if k.Equal(hash) {
			found = true
		}
	}
	return found
}

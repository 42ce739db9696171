package engine

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Freshness is the freshness requirement for the reads of a route.
type Freshness uint8

const (
	// Current reads see every acknowledged commit.
	Current Freshness = iota + 1
	// Bounded reads may lag by the route's MaxLag.
	Bounded
	// OwnWrites reads may lag by MaxLag, but see the session's own commits.
	OwnWrites
)

// Route is a named access path to a database group.
type Route struct {
	Name      ident.Route
	Group     ident.Group
	Freshness Freshness
	MaxLag    time.Duration
	// Timeout limits one statement. Target is the latency objective of a whole
	// operation.
	Timeout  time.Duration
	Target   time.Duration
	Priority int
	// Open routes require no key.
	Open bool
}

// Quota is the rate limit of an account across all instances.
type Quota struct {
	Rate  float64 // operations per second
	Burst float64 // operations
}

// Account is a client account of the catalog.
type Account struct {
	Name  ident.Account
	Quota Quota
	Keys  []string
}

// GroupLimits are the limits of one database group.
type GroupLimits struct {
	Group ident.Group
	// MaxConns limits the connections of all instances to one endpoint.
	MaxConns int
	// SyncReplicas is how many replicas hold a commit before it is
	// acknowledged.
	SyncReplicas int
	// ColdRate is how many calls a second a cold endpoint may receive from all
	// instances, and ColdTime how long an endpoint may be cold. Zero means no
	// limit.
	ColdRate float64
	ColdTime time.Duration
}

// Catalog is one accepted configuration. It is immutable once built.
type Catalog struct {
	Version  ident.Version
	Routes   map[ident.Route]Route
	Accounts map[ident.Account]Account
	Groups   map[ident.Group]GroupLimits
	// IdleTx is how long a transaction may stay idle between statements.
	IdleTx time.Duration

	keys map[string]ident.Account
}

// BuildKeyIndex builds the index of keys. It is called once, before the catalog
// is shared.
func (c *Catalog) BuildKeyIndex() {
	c.keys = make(map[string]ident.Account)
	for _, a := range c.Accounts {
		for _, k := range a.Keys {
			c.keys[k] = a.Name
		}
	}
}

// AccountRates returns the configured rates of the accounts, in operations a
// second.
func (c *Catalog) AccountRates() map[ident.Account]float64 {
	rates := make(map[ident.Account]float64, len(c.Accounts))
	for _, a := range c.Accounts {
		rates[a.Name] = a.Quota.Rate
	}
	return rates
}

// AccountOf returns the account that owns key.
func (c *Catalog) AccountOf(key string) (ident.Account, bool) {
	a, ok := c.keys[key]
	return a, ok
}

// anonymousAccount is the account name of callers without a known key on open
// routes.
const anonymousAccount ident.Account = "-"

// Admit returns the route and the account for a caller with the given key. The
// reason is NoReason on success.
func (c *Catalog) Admit(route ident.Route, key string) (Route, ident.Account, Reason) {
	r, ok := c.Routes[route]
	if !ok {
		return Route{}, "", NoRoute
	}
	account, reason := c.authenticate(r, key)
	if reason != NoReason {
		return Route{}, "", reason
	}
	return r, account, NoReason
}

// authenticate returns the account of a key on a route.
func (c *Catalog) authenticate(r Route, key string) (ident.Account, Reason) {
	account, ok := c.AccountOf(key)
	switch {
	case ok:
		return account, NoReason
	case r.Open:
		return anonymousAccount, NoReason
	}
	return "", BadKey
}

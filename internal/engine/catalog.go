package engine

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Freshness is how current the data of a route's reads must be.
type Freshness uint8

const (
	// Current reads see every acknowledged commit.
	Current Freshness = iota + 1
	// Bounded reads may lag by the route's MaxLag.
	Bounded
	// OwnWrites reads may lag by MaxLag, but see the session's own commits.
	OwnWrites
)

// Route is one way into a group.
type Route struct {
	Name      ident.Route
	Group     ident.Group
	Freshness Freshness
	MaxLag    time.Duration
	// Timeout limits one statement, Target is the latency objective of a whole
	// operation.
	Timeout  time.Duration
	Target   time.Duration
	Priority int
	// Open routes need no key.
	Open bool
}

// Quota is what an account may use over all instances together.
type Quota struct {
	Rate  float64 // operations a second
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
	// MaxConns bounds the connections of all instances to one endpoint.
	MaxConns int
	// SyncReplicas is how many replicas hold a commit before it is acknowledged.
	SyncReplicas int
}

// Catalog is one accepted configuration. It never changes once built.
type Catalog struct {
	Version  ident.Version
	Routes   map[ident.Route]Route
	Accounts map[ident.Account]Account
	Groups   map[ident.Group]GroupLimits
	// IdleTx is how long a transaction may stay without a statement.
	IdleTx time.Duration

	keys map[string]ident.Account
}

// BuildKeyIndex builds the look-up of keys. It is called once, before the
// catalog is shared.
func (c *Catalog) BuildKeyIndex() {
	c.keys = make(map[string]ident.Account)
	for _, a := range c.Accounts {
		for _, k := range a.Keys {
			c.keys[k] = a.Name
		}
	}
}

// AccountOf returns the account that holds key.
func (c *Catalog) AccountOf(key string) (ident.Account, bool) {
	a, ok := c.keys[key]
	return a, ok
}

// openAccount is what callers without a known key are called on open routes.
const openAccount ident.Account = "-"

// Admit resolves who may use route with key. The reason is NoReason on success.
func (c *Catalog) Admit(route ident.Route, key string) (Route, ident.Account, Reason) {
	r, ok := c.Routes[route]
	if !ok {
		return Route{}, "", NoRoute
	}
	account, ok := c.AccountOf(key)
	if ok {
		return r, account, NoReason
	}
	if r.Open {
		return r, openAccount, NoReason
	}
	return Route{}, "", BadKey
}

// Package envdoc is the environment document: the one text in which the
// operators of an environment describe database groups, routes, client
// accounts, keys and limits. The package parses and checks text; it does no
// I/O and asserts that a Document it returns has passed every check.
package envdoc

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Document is a checked environment document. Callers treat it as immutable.
type Document struct {
	Environment ident.Environment
	Groups      []Group
	Routes      []Route
	Accounts    []Account
}

// Group is one database group.
type Group struct {
	Name      ident.Group
	Endpoints []Endpoint
}

// Endpoint is one database server of a group.
type Endpoint struct {
	Name       ident.Endpoint
	Address    string // IP and port
	DataCentre ident.DataCentre
	// Slots is how many statements the endpoint runs at once.
	Slots int
	// Connections is how many connections the endpoint accepts, over all instances.
	Connections int
}

// Access says who may use a route.
type Access string

// The kinds of access.
const (
	Open  Access = "Open"  // every caller, with no key
	Keyed Access = "Keyed" // only client accounts, with their key
)

// Durability says when a write of a route is acknowledged.
type Durability string

// The kinds of durability.
const (
	Majority Durability = "Majority" // a majority of the group holds the write
	Primary  Durability = "Primary"  // the primary alone holds the write
)

// Route is one way into a group. Callers name it as their database.
type Route struct {
	Name     ident.Route
	Group    ident.Group
	Access   Access
	ReadOnly bool
	// MaxAge is how old the data of a read may be. Zero asks for every
	// acknowledged write of the session, of any age otherwise.
	MaxAge     Duration
	Durability Durability
	// Accounts lists who may use a keyed route; empty means every account.
	Accounts []ident.Account
}

// Account is one client account with its keys and quota.
type Account struct {
	Name ident.Account
	// Keys holds the hashes of the keys in force, as HashKey prints them.
	Keys []KeyHash
	// Rate is how many requests a second the account may start, over all instances.
	Rate ident.Tokens
	// Burst is how many requests beyond Rate it may start at once.
	Burst ident.Tokens
	// Weight is the account's share of a busy group, at least 1.
	Weight int
}

// Duration is a time span written as text such as "250ms" or "2s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Std returns the span as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String prints the span as UnmarshalText reads it.
func (d Duration) String() string { return time.Duration(d).String() }

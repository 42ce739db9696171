// Package envdoc implements the environment document, the text in which the
// operators of an environment describe database groups, routes, client
// accounts, keys and limits. A Document returned by Parse has passed all
// checks. The package does no I/O.
package envdoc

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Document is an environment document. Treat it as immutable.
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
	// Slots is how many statements the endpoint runs concurrently.
	Slots int
	// Connections is how many connections the endpoint accepts from all
	// instances together.
	Connections int
}

// Access determines who may use a route.
type Access string

// The kinds of access.
const (
	Open  Access = "Open"  // every caller, without a key
	Keyed Access = "Keyed" // only client accounts, with their key
)

// Durability determines when a write is acknowledged.
type Durability string

// The kinds of durability.
const (
	Majority Durability = "Majority" // once a majority of the group has the write
	Primary  Durability = "Primary"  // once the primary has the write
)

// Route gives callers access to a group. Callers select it as the database
// name.
type Route struct {
	Name     ident.Route
	Group    ident.Group
	Access   Access
	ReadOnly bool
	// MaxAge is the maximum age of the data of a read. Zero means no maximum: a
	// read sees every acknowledged write of its own session and other data of
	// any age.
	MaxAge     Duration
	Durability Durability
	// Accounts lists the accounts that may use a keyed route. Empty means every
	// account.
	Accounts []ident.Account
}

// Account is one client account with its keys and quota.
type Account struct {
	Name ident.Account
	// Keys holds the hashes of the keys in force, as HashKey prints them.
	Keys []KeyHash
	// Rate is how many requests per second the account may start, over all
	// instances.
	Rate ident.Tokens
	// Burst is how many requests beyond Rate the account may start at once.
	Burst ident.Tokens
	// Weight is the account's relative share of a saturated group, at least 1.
	Weight int
}

// Duration is a duration that is written as text, such as "250ms" or "2s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the duration in the form that UnmarshalText accepts.
func (d Duration) String() string { return time.Duration(d).String() }

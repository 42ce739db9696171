// Package store reaches the platform: the transactional table service, the
// object store and the list of instances. Every write is conditional and
// carries an identifier by which its author recognises it after a lost
// answer. No caller of the request path waits for this package.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// ErrConflict reports a conditional write that another author won.
var ErrConflict = errors.New("conflict")

// ErrUnavailable reports that the platform gave no answer in time; a write
// may have taken effect.
var ErrUnavailable = errors.New("platform unavailable")

// ErrNotFound reports a row or object that does not exist.
var ErrNotFound = errors.New("not found")

// Head names the document in force in an environment.
type Head struct {
	Version ident.Version
	Change  ident.Change
	Digest  string // SHA-256 of the text, hexadecimal
	Author  string
	At      time.Time
}

// Documents keeps the accepted documents of every environment.
type Documents interface {
	// Head returns ErrNotFound before the first version.
	Head(ctx context.Context, env ident.Environment) (Head, error)
	// Accept stores text as version base+1. When another author was first it
	// returns the winner's head and ErrConflict. A repeat with the same
	// change returns the head that the first attempt made.
	Accept(ctx context.Context, env ident.Environment, base ident.Version, head Head, text []byte) (Head, error)
	Text(ctx context.Context, env ident.Environment, version ident.Version) ([]byte, error)
	// History returns the latest heads, newest first, at most limit.
	History(ctx context.Context, env ident.Environment, limit int) ([]Head, error)
}

// LeaseKey names one part of a client account's quota.
type LeaseKey struct {
	Account ident.Account
	Part    ident.Part
}

// Lease is one quota lease record. A free lease has no holder.
type Lease struct {
	Key    LeaseKey
	Holder ident.Instance
	Epoch  ident.Epoch
	// Length is how long the holder may spend after it began the write that
	// set or renewed the record.
	Length time.Duration
	// Renewal changes with each write, so that a watcher sees life.
	Renewal uint64
	// Document is the version by which the part was cut.
	Document ident.Version
	// Witness may take the part from a holder that has not asked it for a
	// while, long before Length has passed. Empty means nobody.
	Witness ident.Instance
}

// Leases keeps the quota leases of an environment.
type Leases interface {
	All(ctx context.Context, env ident.Environment) ([]Lease, error)
	// Swap replaces old, as last read, by fresh; a zero Epoch in old means
	// that the record must not exist. It returns ErrConflict when the record
	// differs from old.
	Swap(ctx context.Context, env ident.Environment, old, fresh Lease) error
}

// Member is one instance of the system.
type Member struct {
	Instance   ident.Instance
	DataCentre ident.DataCentre
	Peer       string // IP and port of the peer listener
	Admin      string // IP and port of the administration listener
	Start      uint64 // changes with each start of the process
	Renewal    uint64 // changes with each heartbeat
}

// Members keeps the instances of an environment.
type Members interface {
	All(ctx context.Context, env ident.Environment) ([]Member, error)
	Put(ctx context.Context, env ident.Environment, member Member) error
	Delete(ctx context.Context, env ident.Environment, instance ident.Instance) error
}

// TermRecord records a promotion for operators; no decision reads it.
type TermRecord struct {
	Group      ident.Group
	Term       ident.Term
	Primary    ident.Endpoint
	PromotedBy ident.Instance `json:"By"`
}

// TermRecords keeps the latest reign of each group. A lower term never replaces
// a higher one.
type TermRecords interface {
	Record(ctx context.Context, env ident.Environment, reign TermRecord) error
	All(ctx context.Context, env ident.Environment) ([]TermRecord, error)
}

// Listed is one entry of the platform's lagging list.
type Listed struct {
	Name    string
	Address string
	Leaving bool
}

// Directory is the platform's list of live and leaving machines, both
// instances of the system and endpoints.
type Directory interface {
	List(ctx context.Context) ([]Listed, error)
}

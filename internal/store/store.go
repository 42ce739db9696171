// Package store accesses the platform: the transactional table service, the
// object store and the list of instances. Every write is conditional and
// carries an identifier that lets its author recognise the write after a lost
// answer. Nothing on the request path waits for this package.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// ErrConflict reports a conditional write that lost to another author.
var ErrConflict = errors.New("conflict")

// ErrUnavailable reports that the platform did not answer in time. A write may
// have taken effect.
var ErrUnavailable = errors.New("platform unavailable")

// ErrNotFound reports a row or object that does not exist.
var ErrNotFound = errors.New("not found")

// Head identifies the document in force in an environment.
type Head struct {
	Version ident.Version
	Change  ident.Change
	Digest  string // SHA-256 of the text, hexadecimal
	Author  string
	At      time.Time
}

// Documents stores the accepted documents of every environment.
type Documents interface {
	// Head returns ErrNotFound before the first version.
	Head(ctx context.Context, env ident.Environment) (Head, error)
	// Accept stores text as version base+1. If another author accepted that
	// version first, it returns the winner's head and ErrConflict. Repeating a
	// call with the same change returns the head that the first call stored.
	Accept(ctx context.Context, env ident.Environment, base ident.Version, head Head, text []byte) (Head, error)
	// Text returns ErrNotFound for a version that does not exist, and
	// ErrDamaged if the stored text does not match its digest.
	Text(ctx context.Context, env ident.Environment, version ident.Version) ([]byte, error)
	// History returns the latest heads, newest first, at most limit.
	History(ctx context.Context, env ident.Environment, limit int) ([]Head, error)
}

// LeaseKey identifies one part of a client account's quota.
type LeaseKey struct {
	Account ident.Account
	Part    ident.Part
}

// Lease is the stored lease of one part of a quota. A free lease has no holder.
type Lease struct {
	Key    LeaseKey
	Holder ident.Instance
	Epoch  ident.Epoch
	// Length is how long the holder may spend from the part, counted from the
	// moment it started the write that set or renewed the record.
	Length time.Duration
	// Renewal changes with each write, so that other instances can see that the
	// holder is alive.
	Renewal uint64
	// Document is the version of the document that defined the part.
	Document ident.Version
	// Witness is the instance that may take over the part before Length has
	// passed, if the holder has not sent it a request for a while. Empty if
	// there is none.
	Witness ident.Instance
}

// Leases stores the quota leases of an environment.
type Leases interface {
	All(ctx context.Context, env ident.Environment) ([]Lease, error)
	// Swap replaces old, as last read, by updated. A zero Epoch in old means
	// that the record must not exist. It returns ErrConflict if the stored
	// record differs from old.
	Swap(ctx context.Context, env ident.Environment, old, updated Lease) error
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

// Members stores the instances of an environment.
type Members interface {
	All(ctx context.Context, env ident.Environment) ([]Member, error)
	Put(ctx context.Context, env ident.Environment, member Member) error
	Delete(ctx context.Context, env ident.Environment, instance ident.Instance) error
}

// TermRecord records a promotion for operators. No decision depends on it.
type TermRecord struct {
	Group      ident.Group
	Term       ident.Term
	Primary    ident.Endpoint
	PromotedBy ident.Instance `json:"By"`
}

// TermRecords stores the latest term record of each group. A lower term never
// replaces a higher one.
type TermRecords interface {
	Record(ctx context.Context, env ident.Environment, record TermRecord) error
	All(ctx context.Context, env ident.Environment) ([]TermRecord, error)
}

// DirectoryEntry is one entry of the platform's list of machines, which lags
// behind the actual state.
type DirectoryEntry struct {
	Name    string
	Address string
	Leaving bool
}

// Directory is the platform's list of live and leaving machines, both
// instances of the system and endpoints.
type Directory interface {
	List(ctx context.Context) ([]DirectoryEntry, error)
}

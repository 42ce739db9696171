// Package ident defines the named types for identifiers and units that all
// other packages share. It does no I/O.
package ident

import (
	"crypto/rand"
	"encoding/binary"
	"hash/fnv"
)

// Instance is the name of a process of the system, unique within an
// environment.
type Instance string

// Incarnation identifies one process of an instance. An instance that starts again
// is another process: it knows nothing of the numbers that the former one gave out.
type Incarnation uint64

// NewIncarnation returns a random incarnation. A clock may show the same time at
// two starts.
func NewIncarnation() Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return Incarnation(binary.LittleEndian.Uint64(b[:]))
}

// Process names one process of an instance.
type Process struct {
	Instance    Instance
	Incarnation Incarnation
}

// DataCentre is the name of the data centre that an instance or an endpoint
// runs in.
type DataCentre string

// Environment is the name of a configuration environment, such as trial or
// production.
type Environment string

// Group is the name of a database group: a primary and its replicas.
type Group string

// Endpoint is the name of a database server of a group.
type Endpoint string

// Route is the name under which callers reach a group. They pass it as the
// database name.
type Route string

// Account is the name of a client account. Callers pass it as the user name.
type Account string

// Version is the number of an accepted document of an environment, starting at
// 1.
type Version uint64

// Era counts how often the platform's store has come back from an older copy. What
// was written after the copy is lost, and the store gives the same versions out again.
type Era uint32

// eraShift is the number of bits below the era in a Revision or an Epoch.
const eraShift = 40

// Revision is the number of a state of the endpoint directory or of another table of
// the platform's store. It increases with each change: its upper bits are the era, the
// lower ones the version that the store gave out in it.
type Revision uint64

// Revision returns the revision of a version that the store gave out in the era.
func (e Era) Revision(version uint64) Revision { return Revision(e)<<eraShift | Revision(version) }

// Era returns the era of the store in which the revision was given out.
func (r Revision) Era() Era { return Era(r >> eraShift) }

// Version returns the version of the store within the era.
func (r Revision) Version() uint64 { return uint64(r & (1<<eraShift - 1)) }

// Change identifies an attempt to accept a document, so that its author can
// recognise the write after a lost answer.
type Change string

// Request identifies a request that its caller may repeat.
type Request string

// Session identifies a caller's connection within an instance.
type Session uint64

// Part is the number of a part of a client account's quota, starting at 0.
type Part uint32

// Epoch counts the successive holders of a lease. Its upper bits are the era of the
// store in which it was acquired, so that no epoch is given out twice.
type Epoch uint64

// NextEpoch returns an epoch of the era that is above the last one.
func (e Era) NextEpoch(last Epoch) Epoch {
	return Epoch(max(e, last.Era()))<<eraShift | (last+1)&(1<<eraShift-1)
}

// Era returns the era of the store in which the epoch was acquired.
func (e Epoch) Era() Era { return Era(e >> eraShift) }

// Tokens is a number of admissions. Tokens are not divisible.
type Tokens int64

// Position is a position in a group's log, in records.
type Position int64

// Term is the number of one term of a primary. The upper bits are a counter.
// The lower termProposerBits identify the proposer.
type Term int64

const termProposerBits = 20

// NextTerm returns the lowest term above seen that belongs to proposer. The
// lower bits are a hash of the proposer's name, so that two instances do not
// propose the same term.
func NextTerm(seen Term, proposer Instance) Term {
	h := fnv.New32a()
	_, _ = h.Write([]byte(proposer))
	proposerBits := Term(h.Sum32() & (1<<termProposerBits - 1))
	count := seen >> termProposerBits
	return (count+1)<<termProposerBits | proposerBits
}

// Counter returns the counter of the term, without the proposer's bits.
func (t Term) Counter() int64 { return int64(t >> termProposerBits) }

// LogPosition is a position in a group's history: a term and a position in the
// log. Positions of different terms can be compared only by an endpoint that
// knows both terms.
type LogPosition struct {
	Term     Term
	Position Position
}

// Zero reports whether p is the zero position, as for a session that has not
// written yet.
func (p LogPosition) Zero() bool { return p == LogPosition{} }

// Covers reports whether p, which must be a position in the current history, is
// at or after other. Later terms come after earlier ones.
func (p LogPosition) Covers(other LogPosition) bool {
	if p.Term != other.Term {
		return p.Term > other.Term
	}
	return p.Position >= other.Position
}

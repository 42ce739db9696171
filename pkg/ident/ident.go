// Package ident holds the named types for identifiers and units that every
// other package shares. It decides nothing and touches nothing.
package ident

import (
	"hash/fnv"
)

// Instance names one process of the system, unique within an environment.
type Instance string

// DataCentre names the data centre an instance or an endpoint runs in.
type DataCentre string

// Environment names one configuration environment, such as trial or production.
type Environment string

// Group names one database group: a primary and its replicas.
type Group string

// Endpoint names one database server of a group.
type Endpoint string

// Route names one way into a group. Callers select it as the database name.
type Route string

// Account names one client account. Callers give it as the user name.
type Account string

// Version numbers the accepted documents of an environment, from 1.
type Version uint64

// Revision rises with each change of the directory of endpoints.
type Revision uint64

// Change identifies one attempt to accept a document, so that its author can
// recognise the write after a lost answer.
type Change string

// Request identifies one request that its caller may repeat.
type Request string

// Session identifies one caller connection within an instance.
type Session uint64

// Part numbers one share of a client account's quota, from 0.
type Part uint32

// Epoch counts the holders of a lease.
type Epoch uint64

// Tokens counts admissions. Tokens are whole.
type Tokens int64

// Position is a place in a group's log, in records.
type Position int64

// Term numbers one reign of a primary. The upper bits count, the lower
// termProposerBits tell the proposer apart.
type Term int64

const termProposerBits = 20

// NextTerm returns the lowest term above seen that belongs to proposer, so
// that two instances never propose the same term.
func NextTerm(seen Term, proposer Instance) Term {
	h := fnv.New32a()
	_, _ = h.Write([]byte(proposer))
	mark := Term(h.Sum32() & (1<<termProposerBits - 1))
	counter := seen >> termProposerBits
	return (counter+1)<<termProposerBits | mark
}

// Counter returns how many reigns preceded the term.
func (t Term) Counter() int64 { return int64(t >> termProposerBits) }

// LogPosition is a place in a group's history: a log position in a term. Marks
// of different terms are compared only by an endpoint that knows both terms.
type LogPosition struct {
	Term     Term
	Position Position
}

// Zero reports whether the mark names no place, as for a session that has
// not written yet.
func (m LogPosition) Zero() bool { return m == LogPosition{} }

// Covers reports whether m, a mark known to be in the current history, is at
// least as far as n. Later terms come after earlier ones.
func (m LogPosition) Covers(n LogPosition) bool {
	if m.Term != n.Term {
		return m.Term > n.Term
	}
	return m.Position >= n.Position
}

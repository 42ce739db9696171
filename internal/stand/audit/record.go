// Package audit keeps what the servers of a deployment ran and what its callers
// sent and were told, and judges the two against each other: transactions and
// sessions that were mixed up, answers that are not the caller's, writes that took
// effect twice or after a refusal, reads that are too old, commits that were lost.
// Recording and judging are separate; a History can be judged while the run goes on.
package audit

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// NoRequest is the request ID of statements that a proxy sends on its own behalf.
const NoRequest = "-"

// ConnID numbers the connections to all servers of a record. Zero means none.
type ConnID uint64

// TxID numbers the transactions that the servers of a record opened. Zero means none.
type TxID uint64

// Write is one change that a statement made or that a log holds.
type Write struct {
	Request  string // of the statement that wrote
	Item     string
	Position ident.LogPosition // zero until it is committed
}

// Step is one statement that a server answered.
type Step struct {
	At      time.Time
	Group   ident.Group
	Server  ident.Endpoint
	Conn    ConnID
	Account ident.Account
	Tx      TxID // the server's transaction, in which it ran or which it ended
	Request string
	Text    string // without a floor
	// Values are the session values in force on the connection, in the form of
	// FormatValues. Shape is what a prepared name stood for, as in "READ q2".
	Values string
	Shape  string
	// Code is that of a failure, empty after a success.
	Code    string
	Rows    []string
	Receipt string
	// Applied is the position of the last log entry that a read could see.
	Applied ident.LogPosition
	// Committed are the writes that the statement made permanent.
	Committed []Write
}

// ran reports whether the server ran the statement.
func (s *Step) ran() bool {
	switch s.Code {
	case "BUSY", "NOSTMT", "LAGGING", "READONLY", "MALFORMED":
		return false
	}
	return true
}

// Record collects the steps of all servers. A nil record keeps nothing.
type Record struct {
	mu       sync.Mutex
	steps    []Step
	lastConn ConnID
	lastTx   TxID
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{} }

// Add appends a step.
func (r *Record) Add(s Step) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steps = append(r.steps, s)
}

// NextConn returns the ID of a new connection.
func (r *Record) NextConn() ConnID {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastConn++
	return r.lastConn
}

// NextTx returns the ID of a new transaction.
func (r *Record) NextTx() TxID {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastTx++
	return r.lastTx
}

// Steps returns the steps so far, in the order in which they were answered.
func (r *Record) Steps() []Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.steps)
}

// FormatValues returns session values in a form that can be compared.
func FormatValues(values map[string]string) string {
	if len(values) == 0 {
		return ""
	}
	all := make([]string, 0, len(values))
	for name, value := range values {
		all = append(all, name+"="+value)
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

package audit

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// SessionID numbers the sessions of all callers.
type SessionID uint64

// OperationID numbers the operations of all callers: a transaction, or a single
// statement.
type OperationID uint64

// Freshness is what a route promises its reads.
type Freshness uint8

// The kinds of routes.
const (
	Current Freshness = iota + 1
	Bounded
	OwnWrites
)

// Session describes a caller's session.
type Session struct {
	ID        SessionID
	Front     string // address of the instance
	Account   ident.Account
	Freshness Freshness
}

// Attempt is one statement as its caller sent it, and the answer.
type Attempt struct {
	Session   Session
	Operation OperationID
	// InTx is set if the operation is a transaction. Began is when its first
	// statement was sent.
	InTx    bool
	Began   time.Time
	Request string
	Text    string
	// Values are the session values that were acknowledged, in the form of
	// FormatValues. Shape is that of the prepared name, as in "READ q2".
	Values string
	Shape  string
	Sent   time.Time
	// Ended is zero while the answer is awaited.
	Ended   time.Time
	Lost    bool // no complete answer
	Code    string
	Rows    []string
	Receipt string
}

func (a *Attempt) succeeded() bool { return !a.Ended.IsZero() && !a.Lost && a.Code == "" }

// promised reports whether the answer promises that nothing is kept.
func (a *Attempt) promised() bool { return !a.Ended.IsZero() && !a.Lost && IsPromise(a.Code) }

// IsPromise reports whether an error code promises that nothing of the operation is kept.
func IsPromise(code string) bool {
	switch code {
	case "BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGHOST", "TOOMANY":
		return true
	}
	return false
}

// IsBegin reports whether a statement opens a transaction.
func IsBegin(text string) bool { return text == "BEGIN" || strings.HasPrefix(text, "BEGIN ") }

// Journal collects the attempts of all callers.
type Journal struct {
	mu            sync.Mutex
	attempts      []*Attempt
	lastSession   SessionID
	lastOperation OperationID
}

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{} }

// NextSession returns the ID of a new session.
func (j *Journal) NextSession() SessionID {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastSession++
	return j.lastSession
}

// NextOperation returns the ID of a new operation.
func (j *Journal) NextOperation() OperationID {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastOperation++
	return j.lastOperation
}

// Begin records a statement before it is sent. It sets the request ID.
func (j *Journal) Begin(a Attempt) *Attempt {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.Request = strconv.FormatUint(uint64(len(j.attempts))+1, 16)
	j.attempts = append(j.attempts, &a)
	return &a
}

// End records the answer. The function sets the fields of the answer.
func (j *Journal) End(a *Attempt, now time.Time, set func(a *Attempt)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.Ended = now
	set(a)
}

// Attempts returns the attempts so far, in the order in which they were sent.
func (j *Journal) Attempts() []Attempt {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]Attempt, 0, len(j.attempts))
	for _, a := range j.attempts {
		out = append(out, *a)
	}
	return slices.Clip(out)
}

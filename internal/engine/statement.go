// Package engine holds the protocol-independent logic of a caller's session:
// the session state, which statements have to run at an endpoint, and the
// answer for each outcome. It knows no wire format, reads no clock and does no
// I/O.
package engine

import "github.com/marjoramrudder/marjoramrudder/pkg/ident"

// Op is the kind of a statement.
type Op uint8

// The kinds of statements.
const (
	Begin Op = iota + 1
	BeginReadOnly
	Commit
	Rollback
	Read
	Write
	Execute
	Set
	Prepare
	Deallocate
)

var opNames = [...]string{
	Begin: "Begin", BeginReadOnly: "BeginReadOnly", Commit: "Commit", Rollback: "Rollback", Read: "Read", Write: "Write",
	Execute: "Execute", Set: "Set", Prepare: "Prepare", Deallocate: "Deallocate",
}

// String returns the name of the kind, empty for a statement that could not be
// parsed or that an instance of another version sent.
func (o Op) String() string {
	if int(o) < len(opNames) {
		return opNames[o]
	}
	return ""
}

// Access is the access mode of a prepared statement.
type Access uint8

// The access modes.
const (
	ReadAccess Access = iota + 1
	WriteAccess
)

// StatementTemplate is the text of a prepared statement with its access mode.
type StatementTemplate struct {
	_      struct{} `cbor:",toarray"`
	Access Access
	Text   string
}

// Statement is one request of a caller.
type Statement struct {
	_  struct{} `cbor:",toarray"`
	ID ident.Request
	Op Op
	// Text is the caller's text of a statement that is forwarded unchanged.
	Text string
	// Name is the session variable of Set, or the prepared statement of
	// Prepare, Execute and Deallocate.
	Name string
	// Argument is the value of Set, or the text after the name of Execute.
	Argument string
	// Template is set on Prepare, and on Execute once the session has looked it
	// up.
	Template StatementTemplate
}

// Writes reports whether running the statement may change data.
func (s Statement) Writes() bool {
	switch s.Op {
	case Write, Commit:
		return true
	case Execute:
		return s.Template.Access == WriteAccess
	}
	return false
}

// Variable is one session variable.
type Variable struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

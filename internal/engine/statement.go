// Package engine holds what a proxy decides about one caller's statements,
// whatever protocol carries them: the session's state, which statements need an
// endpoint, and what the caller is told about an outcome. It knows no wire
// format and no clock, and does no I/O.
package engine

import "github.com/marjoramrudder/marjoramrudder/pkg/ident"

// Op is what a statement asks for.
type Op uint8

// The operations of a statement.
const (
	Begin Op = iota + 1
	BeginRead
	Commit
	Rollback
	Read
	Write
	Execute
	Set
	Prepare
	Deallocate
)

// Access tells whether a prepared statement reads or writes.
type Access uint8

// The kinds of access.
const (
	ReadAccess Access = iota + 1
	WriteAccess
)

// StatementTemplate is what a prepared statement stands for.
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
	// Text is what the caller sent, for statements that go on unchanged.
	Text string
	// Name is the session variable of Set, or the prepared statement of
	// Prepare, Execute and Deallocate.
	Name string
	// Argument is the value of Set, or what follows the name of Execute.
	Argument string
	// Template is set on Prepare, and on Execute once the session has found it.
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

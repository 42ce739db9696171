package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Step is what a session does with a statement: either the answer is known at
// once, or Call has to run. RollbackTx names a transaction whose connection is
// to be rolled back without waiting for it.
type Step struct {
	Answer     *Answer
	Call       *Call
	RollbackTx TxID
	// StartsOperation is set on the statement that begins an operation, which
	// counts against the account's quota.
	StartsOperation bool
	// CloseSession is set when the session ends after the answer.
	CloseSession bool
}

// Session is the state of one caller's connection. Its owner guards it.
type Session struct {
	id    ident.Session
	route ident.Route
	key   string

	values   map[string]string
	prepared map[string]StatementTemplate
	own      ident.LogPosition

	state   TxState
	opening Statement // the caller's BEGIN, until the transaction is bound
	rules   Route     // the route as it was when the operation began
	account ident.Account
	tx      TxID
	touched bool // the open transaction has sent a statement to an endpoint
}

// NewSession returns a session that has logged in to route with key.
func NewSession(id ident.Session, route ident.Route, key string) *Session {
	return &Session{
		id: id, route: route, key: key,
		values: make(map[string]string), prepared: make(map[string]StatementTemplate),
	}
}

// State returns the transaction state that the caller sees.
func (s *Session) State() TxState { return s.state }

// Group returns the group of the running operation.
func (s *Session) Group() ident.Group { return s.rules.Group }

// Account returns the account of the running operation.
func (s *Session) Account() ident.Account { return s.account }

// Route returns the route of the running operation.
func (s *Session) Route() Route { return s.rules }

// Receive decides on one statement under the catalog in force.
func (s *Session) Receive(statement Statement, c *Catalog) Step {
	if s.state == FailedTx {
		return s.receiveFailed(statement)
	}
	rules, account, reason := c.Admit(s.route, s.key)
	if reason == NoRoute && s.state == InTx {
		rules, reason = s.rules, NoReason // a change of a route spares the open transaction
		account = s.account
	}
	if reason != NoReason {
		return s.turnAway(reason)
	}
	if s.state == Idle {
		s.rules, s.account = rules, account
	}
	return s.admit(statement)
}

func (s *Session) admit(statement Statement) Step {
	switch statement.Op {
	case Begin, BeginRead:
		return s.begin(statement)
	case Commit:
		return s.commit(statement)
	case Rollback:
		return s.rollback()
	case Set:
		s.values[statement.Name] = statement.Argument
		return local(Answer{Outcome: Answered, State: s.state})
	case Prepare:
		s.prepared[statement.Name] = statement.Template
		return local(Answer{Outcome: Answered, State: s.state})
	case Deallocate:
		return s.deallocate(statement)
	case Execute:
		shape, ok := s.prepared[statement.Name]
		if !ok {
			return s.reject(UnknownStatement, "no prepared statement "+statement.Name)
		}
		statement.Template = shape
		return s.run(statement)
	case Read, Write:
		return s.run(statement)
	}
	return s.reject(Malformed, "unknown statement")
}

func (s *Session) begin(statement Statement) Step {
	if s.state == InTx {
		return s.reject(Malformed, "a transaction is open already")
	}
	s.state, s.opening, s.touched, s.tx = InTx, statement, false, 0
	step := local(Answer{Outcome: Answered, State: InTx})
	step.StartsOperation = true
	return step
}

func (s *Session) commit(statement Statement) Step {
	if s.state != InTx {
		return s.reject(Malformed, "no transaction is open")
	}
	return s.run(statement)
}

func (s *Session) rollback() Step {
	if s.state == Idle {
		return s.reject(Malformed, "no transaction is open")
	}
	step := local(Answer{Outcome: Answered, State: Idle})
	step.RollbackTx = s.leave(Idle)
	return step
}

func (s *Session) deallocate(statement Statement) Step {
	if _, ok := s.prepared[statement.Name]; !ok {
		return s.reject(UnknownStatement, "no prepared statement "+statement.Name)
	}
	delete(s.prepared, statement.Name)
	return local(Answer{Outcome: Answered, State: s.state})
}

// run passes a statement on to an endpoint.
func (s *Session) run(statement Statement) Step {
	if s.opening.Op == BeginRead && s.state == InTx && statement.Op != Commit && statement.Writes() {
		return s.reject(ReadOnly, "the transaction is read only")
	}
	call := &Call{
		Group: s.rules.Group, Account: s.account, Session: s.id,
		Phase: Single, Statement: statement, Variables: s.list(),
		PrimaryOnly: s.rules.Freshness == Current, MaxLag: s.rules.MaxLag,
		Timeout: s.rules.Timeout, Target: s.rules.Target, Priority: s.rules.Priority,
	}
	if s.rules.Freshness == OwnWrites {
		call.LastWrite = s.own
	}
	if s.state == Idle {
		call.PrimaryOnly = call.PrimaryOnly || statement.Writes()
		return Step{Call: call, StartsOperation: true}
	}
	call.Phase, call.Tx = Next, s.tx
	if !s.touched {
		call.Phase, call.Begin = First, s.opening
		call.PrimaryOnly = call.PrimaryOnly || s.opening.Op == Begin
	}
	return Step{Call: call}
}

// Finish takes the answer to a call that Receive asked for, with the
// transaction that now holds a connection. It returns a transaction that has
// to be rolled back, or zero.
func (s *Session) Finish(call *Call, a *Answer, tx TxID) (discard TxID) {
	if a.OK() && (call.Statement.Op == Commit || call.Phase == Single && call.Statement.Writes()) {
		s.own = a.Position
	}
	if call.Phase == Single {
		a.State = Idle
		return 0
	}
	s.tx = tx
	if call.Statement.Op == Commit {
		s.leave(Idle)
		a.State = Idle
		return tx
	}
	if a.OK() {
		s.touched = true
		a.State = InTx
		return 0
	}
	a.State = FailedTx
	return s.leave(FailedTx)
}

// Abandon ends the open transaction, as when the caller is gone or its time is
// over, and returns what has to be rolled back.
func (s *Session) Abandon() (discard TxID) {
	if s.state == Idle {
		return 0
	}
	return s.leave(FailedTx)
}

// Reset makes the session idle after an operation that was refused before it
// began.
func (s *Session) Reset() { s.leave(Idle) }

// receiveFailed answers within a transaction that has failed: ending it is all
// that is left.
func (s *Session) receiveFailed(statement Statement) Step {
	switch statement.Op {
	case Rollback:
		s.leave(Idle)
		return local(Answer{Outcome: Answered, State: Idle})
	case Commit:
		s.leave(Idle)
		a := Refuse(Aborted, 0, "the transaction had failed and is rolled back")
		a.State = Idle
		return local(a)
	}
	a := Refuse(Malformed, 0, "the transaction has failed; end it first")
	a.State = FailedTx
	return local(a)
}

// turnAway ends a session that the catalog no longer admits.
func (s *Session) turnAway(reason Reason) Step {
	discard := s.leave(Idle)
	a := Refuse(reason, 0, "")
	step := local(a)
	step.RollbackTx, step.CloseSession = discard, true
	return step
}

// reject answers a statement that is wrong in itself. It fails the transaction.
func (s *Session) reject(reason Reason, detail string) Step {
	a := Refuse(reason, 0, detail)
	if s.state == Idle {
		return local(a)
	}
	discard := s.leave(FailedTx)
	a.State = FailedTx
	step := local(a)
	step.RollbackTx = discard
	return step
}

// leave forgets the open transaction and returns the connection's name.
func (s *Session) leave(state TxState) TxID {
	tx := s.tx
	s.state, s.tx, s.touched, s.opening = state, 0, false, Statement{}
	return tx
}

func (s *Session) list() []Variable {
	if len(s.values) == 0 {
		return nil
	}
	out := make([]Variable, 0, len(s.values))
	for n, v := range s.values {
		out = append(out, Variable{Name: n, Value: v})
	}
	slices.SortFunc(out, func(a, b Variable) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func local(a Answer) Step { return Step{Answer: &a} }

// IdleTimeout reports whether an open transaction has waited too long for its
// caller.
func IdleTimeout(last, now time.Time, limit time.Duration) bool {
	return limit > 0 && now.Sub(last) > limit
}

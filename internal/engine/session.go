package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Step is the result of Session.Receive: either Answer is known immediately, or
// Call has to run. RollbackTx identifies a transaction to roll back in the
// background.
type Step struct {
	Answer     *Answer
	Call       *Call
	RollbackTx TxID
	// StartsOperation is set on the statement that begins an operation.
	// Operations count against the account's quota.
	StartsOperation bool
	// CloseSession is set when the session ends after the answer.
	CloseSession bool
}

// Session is the state of one caller's connection. It is not safe for
// concurrent use.
type Session struct {
	id    ident.Session
	route ident.Route
	key   string

	variables map[string]string
	prepared  map[string]StatementTemplate
	// lastWrites are the positions of the session's latest commits, each in the log of
	// its group. A position says nothing about the log of another group.
	lastWrites map[ident.Group]ident.LogPosition

	state          TxState
	beginStatement Statement // the caller's BEGIN, until the transaction is bound to an endpoint
	current        Route     // the route as configured when the operation began
	account        ident.Account
	tx             TxID
	bound          bool // the open transaction has sent a statement to an endpoint
}

// NewSession returns a session that has logged in to route with key.
func NewSession(id ident.Session, route ident.Route, key string) *Session {
	return &Session{
		id: id, route: route, key: key,
		variables: make(map[string]string), prepared: make(map[string]StatementTemplate), lastWrites: make(map[ident.Group]ident.LogPosition),
	}
}

// State returns the transaction state that the caller sees.
func (s *Session) State() TxState { return s.state }

// Group returns the group of the current operation.
func (s *Session) Group() ident.Group { return s.current.Group }

// Account returns the account of the current operation.
func (s *Session) Account() ident.Account { return s.account }

// Route returns the route of the current operation.
func (s *Session) Route() Route { return s.current }

// Receive handles one statement under the catalog in force.
func (s *Session) Receive(statement Statement, c *Catalog) Step {
	if s.state == FailedTx {
		return s.receiveFailed(statement)
	}
	route, account, reason := c.Admit(s.route, s.key)
	if reason == NoRoute && s.state == InTx {
		route = s.current // an open transaction survives the removal of its route, but not that of its key
		account, reason = c.authenticate(route, s.key)
	}
	if reason == NoReason && s.state == InTx && account != s.account {
		reason = BadKey // the key is another account's by now
	}
	if reason != NoReason {
		return s.closeRejected(reason)
	}
	if s.state == Idle {
		s.current, s.account = route, account
	}
	return s.admit(statement)
}

func (s *Session) admit(statement Statement) Step {
	switch statement.Op {
	case Begin, BeginReadOnly:
		return s.begin(statement)
	case Commit:
		return s.commit(statement)
	case Rollback:
		return s.rollback()
	case Set:
		s.variables[statement.Name] = statement.Argument
		return answerStep(Answer{Outcome: Answered, State: s.state})
	case Prepare:
		s.prepared[statement.Name] = statement.Template
		return answerStep(Answer{Outcome: Answered, State: s.state})
	case Deallocate:
		return s.deallocate(statement)
	case Execute:
		template, ok := s.prepared[statement.Name]
		if !ok {
			return s.reject(UnknownStatement, "no prepared statement "+statement.Name)
		}
		statement.Template = template
		return s.run(statement)
	case Read, Write:
		return s.run(statement)
	}
	return s.reject(Malformed, "unknown statement")
}

func (s *Session) begin(statement Statement) Step {
	if s.state == InTx {
		return s.reject(Malformed, "a transaction is already open")
	}
	s.state, s.beginStatement, s.bound, s.tx = InTx, statement, false, 0
	step := answerStep(Answer{Outcome: Answered, State: InTx})
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
	step := answerStep(Answer{Outcome: Answered, State: Idle})
	step.RollbackTx = s.endTx(Idle)
	return step
}

func (s *Session) deallocate(statement Statement) Step {
	if _, ok := s.prepared[statement.Name]; !ok {
		return s.reject(UnknownStatement, "no prepared statement "+statement.Name)
	}
	delete(s.prepared, statement.Name)
	return answerStep(Answer{Outcome: Answered, State: s.state})
}

// run builds the call that runs a statement at an endpoint.
func (s *Session) run(statement Statement) Step {
	if s.beginStatement.Op == BeginReadOnly && s.state == InTx && statement.Op != Commit && statement.Writes() {
		return s.reject(ReadOnly, "the transaction is read only")
	}
	call := &Call{
		Group: s.current.Group, Account: s.account, Session: s.id,
		Phase: Single, Statement: statement, Variables: s.sortedVariables(),
		PrimaryOnly: s.current.Freshness == Current, MaxLag: s.current.MaxLag,
		Timeout: s.current.Timeout, Target: s.current.Target, Priority: s.current.Priority,
	}
	if s.current.Freshness == OwnWrites {
		call.LastWrite = s.lastWrites[call.Group]
	}
	if s.state == Idle {
		call.PrimaryOnly = call.PrimaryOnly || statement.Writes()
		return Step{Call: call, StartsOperation: true}
	}
	call.Phase, call.Tx = Next, s.tx
	if !s.bound {
		call.Phase, call.Begin = First, s.beginStatement
		call.PrimaryOnly = call.PrimaryOnly || s.beginStatement.Op == Begin
	}
	return Step{Call: call}
}

// Finish applies the answer to a call that Receive returned. tx is the
// transaction that now holds a connection, zero for none. Finish returns a
// transaction to roll back, or zero.
func (s *Session) Finish(call *Call, a *Answer, tx TxID) (rollback TxID) {
	if a.OK() && (call.Statement.Op == Commit || call.Phase == Single && call.Statement.Writes()) {
		s.lastWrites[call.Group] = a.Position
	}
	if call.Phase == Single {
		a.State = Idle
		return 0
	}
	s.tx = tx
	if call.Statement.Op == Commit {
		s.endTx(Idle)
		a.State = Idle
		return tx
	}
	if a.OK() {
		s.bound = true
		a.State = InTx
		return 0
	}
	a.State = FailedTx
	return s.endTx(FailedTx)
}

// Abandon ends the open transaction, for example after the caller disconnected
// or timed out. It returns the transaction to roll back, or zero.
func (s *Session) Abandon() (rollback TxID) {
	if s.state == Idle {
		return 0
	}
	return s.endTx(FailedTx)
}

// Reset makes the session idle after an operation that was rejected before it
// began.
func (s *Session) Reset() { s.endTx(Idle) }

// receiveFailed handles statements inside a failed transaction, which can only
// be ended.
func (s *Session) receiveFailed(statement Statement) Step {
	switch statement.Op {
	case Rollback:
		s.endTx(Idle)
		return answerStep(Answer{Outcome: Answered, State: Idle})
	case Commit:
		s.endTx(Idle)
		a := Refuse(Aborted, 0, "the transaction had failed and was rolled back")
		a.State = Idle
		return answerStep(a)
	}
	a := Refuse(Malformed, 0, "the transaction has failed; end it first")
	a.State = FailedTx
	return answerStep(a)
}

// closeRejected ends a session that the catalog no longer admits.
func (s *Session) closeRejected(reason Reason) Step {
	rollback := s.endTx(Idle)
	a := Refuse(reason, 0, "")
	step := answerStep(a)
	step.RollbackTx, step.CloseSession = rollback, true
	return step
}

// reject answers an invalid statement. It fails the open transaction.
func (s *Session) reject(reason Reason, detail string) Step {
	a := Refuse(reason, 0, detail)
	if s.state == Idle {
		return answerStep(a)
	}
	rollback := s.endTx(FailedTx)
	a.State = FailedTx
	step := answerStep(a)
	step.RollbackTx = rollback
	return step
}

// endTx clears the open transaction and returns its ID.
func (s *Session) endTx(state TxState) TxID {
	tx := s.tx
	s.state, s.tx, s.bound, s.beginStatement = state, 0, false, Statement{}
	return tx
}

func (s *Session) sortedVariables() []Variable {
	if len(s.variables) == 0 {
		return nil
	}
	out := make([]Variable, 0, len(s.variables))
	for n, v := range s.variables {
		out = append(out, Variable{Name: n, Value: v})
	}
	slices.SortFunc(out, func(a, b Variable) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func answerStep(a Answer) Step { return Step{Answer: &a} }

// IdleTimeout reports whether an open transaction has been idle for longer than
// limit. A limit of zero never expires.
func IdleTimeout(last, now time.Time, limit time.Duration) bool {
	return limit > 0 && now.Sub(last) > limit
}

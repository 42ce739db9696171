package endpt

import (
	"context"
	"strconv"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

// result is the result of a statement. Columns are nil if it returns no rows.
type result struct {
	columns []column
	rows    [][]*string
	tag     string
}

// run executes one statement, in a new implicit transaction if none is open.
func (x *session) run(ctx context.Context, st *statement, args []*string) (*result, error) {
	r, err := x.runStatement(ctx, st, args)
	x.server.counters.statement(st, x.server.node.currentRole(), err)
	return r, err
}

func (x *session) runStatement(ctx context.Context, st *statement, args []*string) (*result, error) {
	switch st.verb {
	case commitVerb:
		return x.commitBlock()
	case rollbackVerb:
		x.endTxn(false)
		return &result{tag: "ROLLBACK"}, nil
	}
	if x.txn != nil && x.txn.failed {
		return nil, fail(codeFailedBlock, "current transaction is aborted, commands ignored until end of transaction block")
	}
	if x.txn == nil {
		x.txn = newTxn(x.server.node.currentTerm())
	}
	if st.verb == beginVerb {
		x.txn.explicit = true
		x.txn.readOnly = x.txn.readOnly || st.readOnly
		return &result{tag: "BEGIN"}, nil
	}
	if st.takesSlot() {
		if err := x.server.simulateService(ctx); err != nil {
			return nil, err
		}
	}
	return x.dispatch(ctx, st, args)
}

func (x *session) dispatch(ctx context.Context, st *statement, args []*string) (*result, error) {
	switch st.verb {
	case functionVerb:
		return x.callFunction(st, args)
	case setTransactionVerb:
		x.txn.readOnly = true
		return &result{tag: "SET"}, nil
	case setVerb, showVerb, resetVerb, resetAllVerb, discardVerb, deallocateVerb:
		return x.runSetting(st)
	case sleepVerb:
		return x.sleep(ctx, st, args)
	}
	r, err := x.server.node.execute(x.txn, st, args)
	if err != nil {
		return nil, err
	}
	x.txn.tag = r.tag
	return r, nil
}

// simulateService waits for a slot and holds it for the service time.
func (s *Server) simulateService(ctx context.Context) error {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return canceled()
	}
	defer func() { <-s.slots }()
	if !tasks.Pause(ctx, s.config.ServiceTime+s.faults.extraServiceTime()) {
		return canceled()
	}
	return nil
}

func canceled() error { return fail(codeCanceled, "canceling statement due to user request") }

func (x *session) sleep(ctx context.Context, st *statement, args []*string) (*result, error) {
	v, err := st.values[0][0].bind(args)
	if err != nil {
		return nil, err
	}
	if v == nil {
		return nil, fail(codeBadValue, "pg_sleep needs seconds")
	}
	seconds, perr := strconv.ParseFloat(*v, 64)
	if perr != nil {
		return nil, fail(codeBadValue, "%q is not a number", *v)
	}
	select {
	case x.server.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, canceled()
	}
	defer func() { <-x.server.slots }()
	if !tasks.Pause(ctx, time.Duration(seconds*float64(time.Second))) {
		return nil, canceled()
	}
	return &result{columns: textColumns(st.columns), rows: [][]*string{{text("")}}, tag: "SELECT 1"}, nil
}

// commitBlock ends an explicit transaction at COMMIT.
func (x *session) commitBlock() (*result, error) {
	if x.txn == nil {
		return &result{tag: "COMMIT"}, nil
	}
	if x.txn.failed {
		x.endTxn(false)
		return &result{tag: "ROLLBACK"}, nil
	}
	return &result{tag: "COMMIT"}, x.commit()
}

// commit commits the transaction and discards it, even if the commit fails.
func (x *session) commit() error {
	pos, err := x.server.node.commit(x.txn, time.Now())
	x.endTxn(err == nil)
	if err != nil {
		return err
	}
	if pos.Zero() {
		return nil
	}
	x.lastWrite = pos
	if decrement(&x.server.faults.loseAnswers) {
		x.loseAnswer = true
	}
	return nil
}

func text(s string) *string { return &s }

func number(n int64) *string { return text(strconv.FormatInt(n, 10)) }

func textColumns(names []string) []column {
	out := []column{}
	for _, n := range names {
		out = append(out, column{n, oidText})
	}
	return out
}

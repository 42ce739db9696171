package endpt

import (
	"context"
	"strconv"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

// result is what a statement returns. Columns are nil when it has no rows.
type result struct {
	columns []column
	rows    [][]*string
	tag     string
}

// run executes one statement, in a new implicit transaction when none is
// open.
func (x *session) run(ctx context.Context, st *statement, args []*string) (*result, error) {
	r, err := x.attempt(ctx, st, args)
	x.server.counters.statement(st, x.server.node.currentRole(), err)
	return r, err
}

func (x *session) attempt(ctx context.Context, st *statement, args []*string) (*result, error) {
	switch st.verb {
	case commitVerb:
		return x.end()
	case rollbackVerb:
		x.leaveTxn(false)
		return &result{tag: "ROLLBACK"}, nil
	}
	if x.txn != nil && x.txn.failed {
		return nil, fail(codeFailedBlock, "current transaction is aborted, commands ignored until end of transaction block")
	}
	if x.txn == nil {
		x.txn = newTxn(x.server.node.currentTerm())
	}
	if st.verb == beginVerb {
		x.txn.block = true
		x.txn.readOnly = x.txn.readOnly || st.readOnly
		return &result{tag: "BEGIN"}, nil
	}
	if st.takesSlot() {
		if err := x.server.serveTime(ctx); err != nil {
			return nil, err
		}
	}
	return x.dispatch(ctx, st, args)
}

func (x *session) dispatch(ctx context.Context, st *statement, args []*string) (*result, error) {
	switch st.verb {
	case functionVerb:
		return x.call(st, args)
	case setTransactionVerb:
		x.txn.readOnly = true
		return &result{tag: "SET"}, nil
	case setVerb, showVerb, resetVerb, resetAllVerb, discardVerb, deallocateVerb:
		return x.configure(st)
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

// serveTime waits for a slot and holds it for the service time.
func (s *Server) serveTime(ctx context.Context) error {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return canceled()
	}
	defer func() { <-s.slots }()
	if !tasks.Pause(ctx, s.config.ServiceTime+s.faults.slowness()) {
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
		return nil, fail(codeBadValue, "%q is no number", *v)
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

// end commits the transaction of a block.
func (x *session) end() (*result, error) {
	if x.txn == nil {
		return &result{tag: "COMMIT"}, nil
	}
	if x.txn.failed {
		x.leaveTxn(false)
		return &result{tag: "ROLLBACK"}, nil
	}
	return &result{tag: "COMMIT"}, x.commit()
}

// commit ends the transaction, whether it succeeds or not.
func (x *session) commit() error {
	m, err := x.server.node.commit(x.txn, time.Now())
	x.leaveTxn(err == nil)
	if err != nil {
		return err
	}
	if m.Zero() {
		return nil
	}
	x.lastWrite = m
	if takeOne(&x.server.faults.loseAnswers) {
		x.lose = true
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

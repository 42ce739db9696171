package endpt

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
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
	x.server.counters.statement(st, err)
	return r, err
}

func (x *session) attempt(ctx context.Context, st *statement, args []*string) (*result, error) {
	switch st.verb {
	case commitVerb:
		return x.end()
	case rollbackVerb:
		x.txn = nil
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
	if !pause(ctx, s.config.ServiceTime+s.faults.slowness()) {
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
	if !pause(ctx, time.Duration(seconds*float64(time.Second))) {
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
		x.txn = nil
		return &result{tag: "ROLLBACK"}, nil
	}
	return &result{tag: "COMMIT"}, x.commit()
}

// commit ends the transaction, whether it succeeds or not.
func (x *session) commit() error {
	t := x.txn
	x.txn = nil
	m, err := x.server.node.commit(t, time.Now())
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

func (x *session) configure(st *statement) (*result, error) {
	switch st.verb {
	case setVerb:
		x.settings.values[st.name] = st.values[0][0].text
		return &result{tag: "SET"}, nil
	case showVerb:
		v, err := x.settings.show(st.name)
		if err != nil {
			return nil, err
		}
		return &result{columns: textColumns(st.columns), rows: [][]*string{{&v}}, tag: "SHOW"}, nil
	case resetVerb:
		x.settings.reset(st.name)
		return &result{tag: "RESET"}, nil
	case resetAllVerb:
		x.settings.resetAll()
		return &result{tag: "RESET"}, nil
	case discardVerb:
		if x.txn.block {
			return nil, fail("25001", "DISCARD ALL cannot run inside a transaction block")
		}
		x.settings.resetAll()
		clear(x.prepared)
		return &result{tag: "DISCARD ALL"}, nil
	}
	if st.name == "all" {
		clear(x.prepared)
		return &result{tag: "DEALLOCATE ALL"}, nil
	}
	delete(x.prepared, st.name)
	return &result{tag: "DEALLOCATE"}, nil
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

// columns returns the columns of a statement's result, nil when it has none.
func (n *node) columns(st *statement) []column {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.columnsLocked(st)
}

func (n *node) columnsLocked(st *statement) []column {
	switch st.verb {
	case selectVerb:
		if st.all {
			return textColumns(n.db.columns(st.table))
		}
		return textColumns(st.columns)
	case countVerb:
		return []column{{"count", oidInt8}}
	case literalVerb:
		out := []column{}
		for i, o := range st.values[0] {
			out = append(out, column{st.columns[i], o.oid})
		}
		return out
	case sleepVerb, showVerb:
		return textColumns(st.columns)
	case functionVerb:
		return functions[st.name].columns
	}
	if st.returning != nil {
		return textColumns(st.returning)
	}
	return nil
}

// execute runs a statement on tables.
func (n *node) execute(t *txn, st *statement, args []*string) (*result, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.serving(); err != nil {
		return nil, err
	}
	if st.writes() {
		if err := n.writable(t); err != nil {
			return nil, err
		}
	}
	r := &result{columns: n.columnsLocked(st)}
	var err error
	switch st.verb {
	case insertVerb:
		err = n.insert(t, st, args, r)
	case updateVerb:
		err = n.update(t, st, args, r)
	case deleteVerb:
		err = n.remove(t, st, args, r)
	case literalVerb:
		err = literal(st, args, r)
	default:
		err = n.read(t, st, args, r)
	}
	return r, err
}

func literal(st *statement, args []*string, r *result) error {
	var row []*string
	for _, o := range st.values[0] {
		v, err := o.bind(args)
		if err != nil {
			return err
		}
		row = append(row, v)
	}
	r.rows, r.tag = [][]*string{row}, "SELECT 1"
	return nil
}

func (n *node) matching(t *txn, st *statement, args []*string) ([]visible, error) {
	if st.where == nil {
		return t.scan(n.db, st.table, "", nil, false), nil
	}
	v, err := st.where.value.bind(args)
	if err != nil {
		return nil, err
	}
	return t.scan(n.db, st.table, st.where.column, v, true), nil
}

func (n *node) read(t *txn, st *statement, args []*string, r *result) error {
	found, err := n.matching(t, st, args)
	if err != nil {
		return err
	}
	if st.verb == countVerb {
		r.rows, r.tag = [][]*string{{number(int64(len(found)))}}, "SELECT 1"
		return nil
	}
	for _, v := range found {
		r.rows = append(r.rows, project(v.values, r.columns))
	}
	r.tag = fmt.Sprintf("SELECT %d", len(found))
	return nil
}

func project(values map[string]*string, columns []column) []*string {
	row := make([]*string, len(columns))
	for i, c := range columns {
		row[i] = values[c.name]
	}
	return row
}

func (n *node) insert(t *txn, st *statement, args []*string, r *result) error {
	for _, in := range st.values {
		values := make(map[string]*string, len(in))
		for i, o := range in {
			v, err := o.bind(args)
			if err != nil {
				return err
			}
			values[st.columns[i]] = v
		}
		if err := n.put(t, st, values); err != nil {
			return err
		}
		if st.returning != nil {
			r.rows = append(r.rows, project(values, r.columns))
		}
	}
	r.tag = fmt.Sprintf("INSERT 0 %d", len(st.values))
	return nil
}

func (n *node) put(t *txn, st *statement, values map[string]*string) error {
	n.serial++
	key := t.insertKey(values, n.serial)
	var base ident.Position
	if id := values[idColumn]; id != nil {
		if len(t.scan(n.db, st.table, idColumn, id, true)) > 0 {
			return duplicate(st.table)
		}
		if w := t.find(st.table, key); w != nil {
			base = w.base
		}
	}
	t.put(&pending{table: st.table, key: key, columns: st.columns, values: values, base: base})
	return nil
}

func (n *node) update(t *txn, st *statement, args []*string, r *result) error {
	found, err := n.matching(t, st, args)
	if err != nil {
		return err
	}
	for _, v := range found {
		values := maps.Clone(v.values)
		for _, a := range st.sets {
			if values[a.column], err = a.apply(v.values, args); err != nil {
				return err
			}
		}
		columns := slices.Sorted(maps.Keys(values))
		t.put(&pending{table: st.table, key: v.key, columns: columns, values: values, base: v.base})
		if st.returning != nil {
			r.rows = append(r.rows, project(values, r.columns))
		}
	}
	r.tag = fmt.Sprintf("UPDATE %d", len(found))
	return nil
}

func (a *assignment) apply(old map[string]*string, args []*string) (*string, error) {
	if a.from == "" {
		return a.value.bind(args)
	}
	delta, err := a.value.integer(args)
	if err != nil {
		return nil, err
	}
	current := old[a.from]
	if current == nil {
		return nil, nil
	}
	base, perr := strconv.ParseInt(*current, 10, 64)
	if perr != nil {
		return nil, fail(codeBadValue, "%q is no number", *current)
	}
	return number(base + a.sign*delta), nil
}

func (n *node) remove(t *txn, st *statement, args []*string, r *result) error {
	found, err := n.matching(t, st, args)
	if err != nil {
		return err
	}
	for _, v := range found {
		t.put(&pending{table: st.table, key: v.key, base: v.base})
		if st.returning != nil {
			r.rows = append(r.rows, project(v.values, r.columns))
		}
	}
	r.tag = fmt.Sprintf("DELETE %d", len(found))
	return nil
}

package endpt

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// columns returns the columns of a statement's result, or nil if it has none.
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

// execute executes a statement on the tables.
func (n *node) execute(t *txn, st *statement, args []*string) (*result, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkServing(); err != nil {
		return nil, err
	}
	if st.writes() {
		if err := n.checkWritable(t); err != nil {
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

func (n *node) matching(t *txn, st *statement, args []*string) ([]visibleRow, error) {
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
	t.put(&pendingWrite{table: st.table, key: key, columns: st.columns, values: values, base: base})
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
		t.put(&pendingWrite{table: st.table, key: v.key, columns: columns, values: values, base: v.base})
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
		return nil, fail(codeBadValue, "%q is not a number", *current)
	}
	return number(base + a.sign*delta), nil
}

func (n *node) remove(t *txn, st *statement, args []*string, r *result) error {
	found, err := n.matching(t, st, args)
	if err != nil {
		return err
	}
	for _, v := range found {
		t.put(&pendingWrite{table: st.table, key: v.key, base: v.base})
		if st.returning != nil {
			r.rows = append(r.rows, project(v.values, r.columns))
		}
	}
	r.tag = fmt.Sprintf("DELETE %d", len(found))
	return nil
}

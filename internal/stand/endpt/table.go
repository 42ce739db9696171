package endpt

import (
	"slices"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const idColumn = "id"

// row is one committed row. Rows are immutable; a write replaces them.
type row struct {
	values  map[string]*string
	version ident.Position
}

// table holds the committed rows of one table in the order of insertion.
type table struct {
	columns []string
	rows    map[string]*row
	order   []string
	// indexes hold the keys of the rows by the value of a column. An index is
	// built when a statement first uses it.
	indexes map[string]map[string][]string
}

func newTable() *table {
	return &table{rows: map[string]*row{}, indexes: map[string]map[string][]string{}}
}

// keys returns the keys of the rows with the given value in a column.
func (t *table) keys(column, value string) []string {
	index, ok := t.indexes[column]
	if !ok {
		index = map[string][]string{}
		t.indexes[column] = index
		for _, k := range t.order {
			if v := t.rows[k].values[column]; v != nil {
				index[*v] = append(index[*v], k)
			}
		}
	}
	return index[value]
}

// unlink removes a row from the indexes.
func (t *table) unlink(key string) {
	old, ok := t.rows[key]
	if !ok {
		return
	}
	for c, index := range t.indexes {
		if v := old.values[c]; v != nil {
			index[*v] = slices.DeleteFunc(index[*v], func(k string) bool { return k == key })
		}
	}
}

// put stores r as the row of key.
func (t *table) put(key string, r *row) {
	t.unlink(key)
	if _, ok := t.rows[key]; !ok {
		t.order = append(t.order, key)
	}
	t.rows[key] = r
	for c, index := range t.indexes {
		if v := r.values[c]; v != nil {
			index[*v] = append(index[*v], key)
		}
	}
}

// tables holds the tables that result from a prefix of the log.
type tables struct {
	byName   map[string]*table
	requests map[ident.Request]committedRequest
}

type committedRequest struct {
	requestRecord
	position ident.LogPosition
}

func newTables() *tables {
	return &tables{byName: map[string]*table{}, requests: map[ident.Request]committedRequest{}}
}

func (t *tables) apply(r *record) {
	for i := range r.Writes {
		t.write(&r.Writes[i], r.Position)
	}
	for _, o := range r.Once {
		t.requests[o.Request] = committedRequest{o, ident.LogPosition{Term: r.Term, Position: r.Position}}
	}
}

func (t *tables) write(w *write, p ident.Position) {
	b, ok := t.byName[w.Table]
	if !ok {
		b = newTable()
		t.byName[w.Table] = b
	}
	if w.Deleted {
		b.remove(w.Key)
		return
	}
	values := make(map[string]*string, len(w.Columns))
	for i, c := range w.Columns {
		values[c] = w.Values[i]
		if !slices.Contains(b.columns, c) {
			b.columns = append(b.columns, c)
		}
	}
	b.put(w.Key, &row{values: values, version: p})
}

func (t *table) remove(key string) {
	if _, ok := t.rows[key]; !ok {
		return
	}
	t.unlink(key)
	delete(t.rows, key)
	i := slices.Index(t.order, key)
	t.order = slices.Delete(t.order, i, i+1)
}

func (t *tables) columns(name string) []string {
	if b, ok := t.byName[name]; ok {
		return b.columns
	}
	return nil
}

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
}

// tables is what a prefix of the log has made.
type tables struct {
	byName map[string]*table
	once   map[ident.Request]recordedOnce
}

type recordedOnce struct {
	onceEntry
	mark ident.Mark
}

func newTables() *tables {
	return &tables{byName: map[string]*table{}, once: map[ident.Request]recordedOnce{}}
}

func (t *tables) apply(r *record) {
	for i := range r.Writes {
		t.write(&r.Writes[i], r.Position)
	}
	for _, o := range r.Once {
		t.once[o.Request] = recordedOnce{o, ident.Mark{Term: r.Term, Position: r.Position}}
	}
}

func (t *tables) write(w *write, p ident.Position) {
	b, ok := t.byName[w.Table]
	if !ok {
		b = &table{rows: map[string]*row{}}
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
	if _, ok := b.rows[w.Key]; !ok {
		b.order = append(b.order, w.Key)
	}
	b.rows[w.Key] = &row{values: values, version: p}
}

func (b *table) remove(key string) {
	if _, ok := b.rows[key]; !ok {
		return
	}
	delete(b.rows, key)
	i := slices.Index(b.order, key)
	b.order = slices.Delete(b.order, i, i+1)
}

func (t *tables) columns(name string) []string {
	if b, ok := t.byName[name]; ok {
		return b.columns
	}
	return nil
}

package endpt

import (
	"slices"
	"strconv"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// pendingWrite is the image of a row that a transaction has changed but not
// committed.
type pendingWrite struct {
	table, key string
	columns    []string           // in the order of the statement
	values     map[string]*string // nil when deleted
	base       ident.Position     // version that it replaces; 0 for a new row
}

// txn is a running transaction. Its writes become visible to others at the
// commit, which fails if another transaction has changed one of the rows
// meanwhile.
type txn struct {
	explicit bool // started by BEGIN
	failed   bool
	readOnly bool
	term     ident.Term
	writes   []*pendingWrite
	byKey    map[string]*pendingWrite
	requests []requestRecord
	tag      string // command tag of the caller's last statement
	// settings holds the settings before the transaction's first SET; local
	// names those that SET LOCAL changed, which end with the transaction in any
	// case.
	settings map[string]string
	local    map[string]bool
}

func newTxn(term ident.Term) *txn { return &txn{term: term, byKey: map[string]*pendingWrite{}} }

func (t *txn) changed() bool { return len(t.writes) > 0 || len(t.requests) > 0 }

func (t *txn) find(table, key string) *pendingWrite { return t.byKey[table+"\x00"+key] }

func (t *txn) put(w *pendingWrite) {
	k := w.table + "\x00" + w.key
	if old, ok := t.byKey[k]; ok {
		old.columns, old.values = w.columns, w.values
		return
	}
	t.byKey[k] = w
	t.writes = append(t.writes, w)
}

// visibleRow is a row as a transaction sees it.
type visibleRow struct {
	key    string
	values map[string]*string
	base   ident.Position
}

// scan returns the matching rows of a table, committed rows first.
func (t *txn) scan(db *tables, name, column string, value *string, filtered bool) []visibleRow {
	var out []visibleRow
	add := func(v visibleRow) {
		if !filtered || equal(v.values[column], value) {
			out = append(out, v)
		}
	}
	b := db.byName[name]
	keys := candidates(b, column, value, filtered)
	for _, k := range keys {
		t.visit(b, name, k, add)
	}
	for _, w := range t.writes {
		if w.table == name && !slices.Contains(keys, w.key) {
			t.visit(b, name, w.key, add)
		}
	}
	return out
}

// candidates returns the keys of the committed rows that may match.
func candidates(b *table, column string, value *string, filtered bool) []string {
	switch {
	case b == nil || filtered && value == nil:
		return nil
	case filtered:
		return b.keys(column, *value)
	}
	return b.order
}

func (t *txn) visit(b *table, name, key string, add func(visibleRow)) {
	if w := t.find(name, key); w != nil {
		if w.values != nil {
			add(visibleRow{key, w.values, w.base})
		}
		return
	}
	if b == nil {
		return
	}
	if r, ok := b.rows[key]; ok {
		add(visibleRow{key, r.values, r.version})
	}
}

func equal(a, b *string) bool { return a != nil && b != nil && *a == *b }

func idKey(id string) string { return "id:" + id }

// conflict returns the error for which the transaction cannot commit on top of
// db, or nil.
func (t *txn) conflict(db *tables) error {
	for _, w := range t.writes {
		var current ident.Position
		if b, ok := db.byName[w.table]; ok {
			if r, ok := b.rows[w.key]; ok {
				current = r.version
			}
		}
		switch {
		case current == w.base:
		case w.base == 0:
			return duplicate(w.table)
		default:
			return fail(codeSerialization, "a row was changed concurrently")
		}
	}
	for _, o := range t.requests {
		if _, ok := db.requests[o.Request]; ok {
			return fail(codeSerialization, "request %s was committed concurrently", o.Request)
		}
	}
	return nil
}

func duplicate(table string) error {
	return fail(codeDuplicate, "duplicate key value violates unique constraint %q", table+"_pkey")
}

// record returns the transaction as a log record.
func (t *txn) record(pos ident.LogPosition, now time.Time) record {
	r := record{Term: pos.Term, Position: pos.Position, At: now.UnixNano()}
	for _, w := range t.writes {
		image := write{Table: w.table, Key: w.key, Deleted: w.values == nil}
		for _, c := range w.columns {
			image.Columns = append(image.Columns, c)
			image.Values = append(image.Values, w.values[c])
		}
		r.Writes = append(r.Writes, image)
	}
	for _, o := range t.requests {
		o.Tag = t.tag
		r.Once = append(r.Once, o)
	}
	return r
}

func (t *txn) insertKey(values map[string]*string, serial int64) string {
	if id := values[idColumn]; id != nil {
		return idKey(*id)
	}
	return "row:" + strconv.FormatInt(int64(t.term), 36) + ":" + strconv.FormatInt(serial, 36)
}

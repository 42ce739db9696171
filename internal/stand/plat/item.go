package plat

import (
	"cmp"
	"math/big"
	"sort"
	"sync"
)

const defaultPageRows = 1000

// attribute is a value in the protocol's encoding: a string or a number.
type attribute struct {
	S *string `json:",omitempty"`
	N *string `json:",omitempty"`
}

func (a attribute) valid() bool { return (a.S == nil) != (a.N == nil) }

// compare compares two values of the same type. It returns false for values of
// different types.
func (a attribute) compare(b attribute) (order int, ok bool) {
	switch {
	case a.S != nil && b.S != nil:
		return cmp.Compare(*a.S, *b.S), true
	case a.N != nil && b.N != nil:
		return compareNumbers(*a.N, *b.N)
	}
	return 0, false
}

func compareNumbers(a, b string) (order int, ok bool) {
	x, okX := new(big.Rat).SetString(a)
	y, okY := new(big.Rat).SetString(b)
	if !okX || !okY {
		return 0, false
	}
	return x.Cmp(y), true
}

// item is one row: its attributes by name.
type item map[string]attribute

// key is the primary key of a row.
type key struct{ partition, sort string }

const (
	partitionName = "PK"
	sortName      = "SK"
)

func (i item) key() (key, bool) {
	p, s := i[partitionName].S, i[sortName].S
	if p == nil || s == nil || *p == "" || *s == "" {
		return key{}, false
	}
	return key{*p, *s}, true
}

// tables holds the rows of all tables. Tables are created on first use.
type tables struct {
	mu       sync.Mutex
	pageRows int
	rows     map[string]map[string]map[string]item // table, partition, sort key
}

func newTables(pageRows int) *tables {
	return &tables{pageRows: pageRows, rows: map[string]map[string]map[string]item{}}
}

func (t *tables) get(table string, k key) item { return t.rows[table][k.partition][k.sort] }

func (t *tables) put(table string, k key, i item) {
	if t.rows[table] == nil {
		t.rows[table] = map[string]map[string]item{}
	}
	if t.rows[table][k.partition] == nil {
		t.rows[table][k.partition] = map[string]item{}
	}
	t.rows[table][k.partition][k.sort] = i
}

func (t *tables) remove(table string, k key) { delete(t.rows[table][k.partition], k.sort) }

// sorted returns the rows of a partition by sort key, descending unless forward
// is set.
func (t *tables) sorted(table, partition string, forward bool) []item {
	rows := t.rows[table][partition]
	keys := make([]string, 0, len(rows))
	for k := range rows {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	if !forward {
		sort.Sort(sort.Reverse(sort.StringSlice(keys)))
	}
	items := make([]item, len(keys))
	for i, k := range keys {
		items[i] = rows[k]
	}
	return items
}

package strict

import (
	"fmt"
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxFields bounds the fields of one table. The TOML library compares each
// with all before it, so that a table without a bound could take minutes.
const maxFields = 256

// index returns the byte offset of each field of a text, as far as it is well
// formed. It stops at a table with too many fields and returns its path.
func index(text []byte) (offsets map[string]int, crowded string, ok bool) {
	x := indexer{offsets: map[string]int{}, counts: map[string]int{}, fields: map[string]int{}}
	x.parser.Reset(text)
	for !x.full && x.parser.NextExpression() {
		x.expression(x.parser.Expression())
	}
	return x.offsets, x.crowded, !x.full
}

type indexer struct {
	parser  unstable.Parser
	offsets map[string]int
	counts  map[string]int // elements of each array of tables so far
	fields  map[string]int // fields of each table so far
	table   string         // path of the open table
	crowded string         // path of a table with too many fields
	full    bool
}

func (x *indexer) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		x.table = x.header(n.Key())
	case unstable.ArrayTable:
		x.table = x.header(n.Key())
		x.table = x.element(x.table)
	case unstable.KeyValue:
		x.keyValue(x.table, n)
	}
}

// header resolves the key of a table header. Each part but the last means the
// latest element when it names an array of tables.
func (x *indexer) header(key unstable.Iterator) string {
	path := ""
	for key.Next() {
		if count := x.counts[path]; count > 0 {
			path = elementPath(path, count-1)
		}
		path = x.field(path, key.Node())
	}
	return path
}

// field notes one part of a key and returns its path.
func (x *indexer) field(table string, n *unstable.Node) string {
	path := join(table, string(n.Data))
	_, seen := x.offsets[path]
	if !seen && x.counts[path] == 0 {
		x.fields[table]++
	}
	if x.fields[table] > maxFields {
		x.full, x.crowded = true, table
	}
	x.mark(path, n)
	return path
}

func (x *indexer) element(path string) string {
	element := elementPath(path, x.counts[path])
	x.counts[path]++
	x.offsets[element] = x.offsets[path]
	delete(x.offsets, path) // the next header of the array stands elsewhere
	return element
}

func (x *indexer) keyValue(path string, n *unstable.Node) {
	key := n.Key()
	for key.Next() {
		path = x.field(path, key.Node())
	}
	x.value(path, n.Value())
}

func (x *indexer) value(path string, n *unstable.Node) {
	switch n.Kind {
	case unstable.Array:
		x.array(path, n)
	case unstable.InlineTable:
		for children := n.Children(); children.Next(); {
			x.keyValue(path, children.Node())
		}
	}
}

func (x *indexer) array(path string, n *unstable.Node) {
	i := 0
	for children := n.Children(); children.Next(); {
		child := children.Node()
		if child.Kind == unstable.Comment {
			continue
		}
		element := elementPath(path, i)
		x.mark(element, child)
		x.value(element, child)
		i++
	}
}

// mark notes where a field stands, the first time it is seen. Nodes without a
// range of their own take the place of their parent.
func (x *indexer) mark(path string, n *unstable.Node) {
	if n.Raw.Length == 0 {
		return
	}
	if _, ok := x.offsets[path]; !ok {
		x.offsets[path] = int(n.Raw.Offset)
	}
}

// lines finds the place of an offset.
type lines struct{ starts []int }

func newLines(text []byte) lines {
	starts := []int{0}
	for i, c := range text {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return lines{starts}
}

func (l lines) place(offset int) Place {
	after := sort.SearchInts(l.starts, offset+1)
	return Place{Line: after, Column: offset - l.starts[after-1] + 1}
}

// maxPath bounds the path of a field. Longer ones are cut, which no field of a
// struct needs, so that nested names cannot exhaust the memory.
const maxPath = 512

const cut = "…"

func join(path, name string) string {
	if path == "" {
		return shorten(name)
	}
	return shorten(path + "." + name)
}

func elementPath(path string, i int) string { return shorten(fmt.Sprintf("%s[%d]", path, i)) }

func shorten(path string) string {
	if len(path) <= maxPath {
		return path
	}
	return path[:maxPath] + cut
}

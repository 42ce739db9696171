package strict

import (
	"github.com/pelletier/go-toml/v2/unstable"
)

// places finds where the fields of a well-formed text stand.
type places struct {
	lines   lines
	offsets map[string]int
}

func newPlaces(text []byte) *places {
	x := indexer{offsets: map[string]int{}, counts: map[string]int{}}
	x.parser.Reset(text)
	for x.parser.NextExpression() {
		x.expression(x.parser.Expression())
	}
	return &places{newLines(text), x.offsets}
}

// find returns the place of the field or of its nearest parent.
func (p *places) find(field string) Place {
	for field != "" {
		if offset, ok := p.offsets[field]; ok {
			return p.lines.place(offset)
		}
		field = parent(field)
	}
	return Place{}
}

// indexer notes the byte offset of each field.
type indexer struct {
	parser  unstable.Parser
	offsets map[string]int
	counts  map[string]int // elements of each array of tables so far
	table   string         // path of the open table
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

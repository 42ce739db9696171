package strict

import (
	"github.com/pelletier/go-toml/v2/unstable"
)

// index holds the positions of the fields of a well-formed text.
type index struct {
	lines   lines
	offsets map[string]int
}

func newIndex(text []byte) *index {
	x := indexer{offsets: map[string]int{}, counts: map[string]int{}}
	x.parser.Reset(text)
	for x.parser.NextExpression() {
		x.expression(x.parser.Expression())
	}
	return &index{newLines(text), x.offsets}
}

// find returns the position of the field or of its nearest parent.
func (p *index) find(field string) Position {
	for field != "" {
		if offset, ok := p.offsets[field]; ok {
			return p.lines.position(offset)
		}
		field = parent(field)
	}
	return Position{}
}

// indexer records the byte offset of each field.
type indexer struct {
	parser  unstable.Parser
	offsets map[string]int
	counts  map[string]int // elements of each array of tables so far
	table   string         // path of the current table
}

func (x *indexer) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		x.table = x.headerPath(n.Key())
	case unstable.ArrayTable:
		x.table = x.headerPath(n.Key())
		x.table = x.element(x.table)
	case unstable.KeyValue:
		x.keyValue(x.table, n)
	}
}

// headerPath resolves the key of a table header. A part that names an array of
// tables, unless it is the last part, refers to the array's latest element.
func (x *indexer) headerPath(key unstable.Iterator) string {
	path := ""
	for key.Next() {
		if count := x.counts[path]; count > 0 {
			path = elementPath(path, count-1)
		}
		path = x.field(path, key.Node())
	}
	return path
}

// field records one part of a key and returns its path.
func (x *indexer) field(table string, n *unstable.Node) string {
	path := join(table, string(n.Data))
	x.record(path, n)
	return path
}

func (x *indexer) element(path string) string {
	element := elementPath(path, x.counts[path])
	x.counts[path]++
	x.offsets[element] = x.offsets[path]
	delete(x.offsets, path) // the next header of the array has its own position
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
		x.record(element, child)
		x.value(element, child)
		i++
	}
}

// record stores the offset of a field when it is first seen. Nodes without a
// range of their own have the position of their parent.
func (x *indexer) record(path string, n *unstable.Node) {
	if n.Raw.Length == 0 {
		return
	}
	if _, ok := x.offsets[path]; !ok {
		x.offsets[path] = int(n.Raw.Offset)
	}
}

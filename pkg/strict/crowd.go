package strict

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxFields bounds the fields of one table and the different headers of a
// text. The TOML library compares each field of a table with all before it, so
// that a text without the bound could take minutes.
const maxFields = 256

// maxParts bounds the parts of a dotted key, each of which opens a table.
const maxParts = 16

// crowded looks for a key with too many parts and for a table with too many
// fields, as far as the text is well formed.
func crowded(text []byte) (p Problem, ok bool) {
	c := crowd{headers: map[string]bool{}}
	c.parser.Reset(text)
	for c.parser.NextExpression() {
		n := c.parser.Expression()
		if parts(n) > maxParts {
			return crowdProblem(text, n, "too many parts in one key", maxParts), true
		}
		if c.exceeds(n) {
			return crowdProblem(text, n, "too many fields in one table", maxFields), true
		}
	}
	return Problem{}, false
}

func crowdProblem(text []byte, n *unstable.Node, wrong string, bound int) Problem {
	return Problem{
		Place:   newLines(text).place(firstOffset(n)),
		Wrong:   wrong,
		Allowed: fmt.Sprintf("at most %d", bound),
	}
}

// parts counts the parts of a key, up to one more than the bound.
func parts(n *unstable.Node) int {
	count := 0
	for key := n.Key(); key.Next() && count <= maxParts; {
		count++
	}
	return count
}

// crowd counts the fields of a text without resolving their paths.
type crowd struct {
	parser  unstable.Parser
	headers map[string]bool
	fields  int // under the open header
}

func (c *crowd) exceeds(n *unstable.Node) bool {
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		c.fields = 0
		return c.header(n) > maxFields
	case unstable.KeyValue:
		c.fields++
		return c.fields > maxFields || c.inline(n.Value())
	}
	return false
}

// header counts the different headers.
func (c *crowd) header(n *unstable.Node) int {
	var name []byte
	for key := n.Key(); key.Next(); {
		name = append(append(name, key.Node().Data...), 0)
	}
	c.headers[string(name)] = true
	return len(c.headers)
}

// inline reports whether a value holds an inline table with too many fields.
func (c *crowd) inline(n *unstable.Node) bool {
	count := 0
	for children := n.Children(); children.Next(); {
		child := children.Node()
		if child.Kind == unstable.KeyValue {
			count++
			if parts(child) > maxParts {
				return true
			}
			child = child.Value()
		}
		if count > maxFields || c.inline(child) {
			return true
		}
	}
	return false
}

// firstOffset returns where the key of an expression begins.
func firstOffset(n *unstable.Node) int {
	key := n.Key()
	key.Next()
	return int(key.Node().Raw.Offset)
}

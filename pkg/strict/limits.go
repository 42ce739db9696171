package strict

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxFields limits the fields of one table and the number of different headers
// in a text. The TOML library compares each field of a table with all previous
// ones, so a text without this limit could take minutes to parse.
const maxFields = 256

// maxKeyParts limits the parts of a dotted key. Each part opens a table.
const maxKeyParts = 16

// exceedsLimits looks for a key with too many parts or a table with too many
// fields. It stops at the first syntax error.
func exceedsLimits(text []byte) (p Problem, ok bool) {
	c := fieldCounter{headers: map[string]bool{}}
	c.parser.Reset(text)
	for c.parser.NextExpression() {
		n := c.parser.Expression()
		if keyParts(n) > maxKeyParts {
			return limitProblem(text, n, "too many parts in one key", maxKeyParts), true
		}
		if c.exceeds(n) {
			return limitProblem(text, n, "too many fields in one table", maxFields), true
		}
	}
	return Problem{}, false
}

func limitProblem(text []byte, n *unstable.Node, wrong string, limit int) Problem {
	return Problem{
		Position: newLines(text).position(firstOffset(n)),
		Wrong:    wrong,
		Allowed:  fmt.Sprintf("at most %d", limit),
	}
}

// keyParts counts the parts of a key, up to one more than the limit.
func keyParts(n *unstable.Node) int {
	count := 0
	for key := n.Key(); key.Next() && count <= maxKeyParts; {
		count++
	}
	return count
}

// fieldCounter counts the fields of a text without resolving their paths.
type fieldCounter struct {
	parser  unstable.Parser
	headers map[string]bool
	fields  int // under the current header
}

func (c *fieldCounter) exceeds(n *unstable.Node) bool {
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		c.fields = 0
		return c.countHeader(n) > maxFields
	case unstable.KeyValue:
		c.fields++
		return c.fields > maxFields || c.inlineExceeds(n.Value())
	}
	return false
}

// countHeader records a header and returns the number of different headers so
// far.
func (c *fieldCounter) countHeader(n *unstable.Node) int {
	var name []byte
	for key := n.Key(); key.Next(); {
		name = append(append(name, key.Node().Data...), 0)
	}
	c.headers[string(name)] = true
	return len(c.headers)
}

// inlineExceeds reports whether a value contains an inline table with too many
// fields or a key with too many parts.
func (c *fieldCounter) inlineExceeds(n *unstable.Node) bool {
	count := 0
	for children := n.Children(); children.Next(); {
		child := children.Node()
		if child.Kind == unstable.KeyValue {
			count++
			if keyParts(child) > maxKeyParts {
				return true
			}
			child = child.Value()
		}
		if count > maxFields || c.inlineExceeds(child) {
			return true
		}
	}
	return false
}

// firstOffset returns the byte offset of the key of an expression.
func firstOffset(n *unstable.Node) int {
	key := n.Key()
	key.Next()
	return int(key.Node().Raw.Offset)
}

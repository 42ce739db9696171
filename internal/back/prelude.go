package back

import (
	"strconv"
	"strings"

	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Preconditions is what the endpoint checks in the same exchange, ahead of the
// statements of a batch. When a check fails, nothing of the batch runs.
type Preconditions struct {
	PrimaryTerm ident.Term        // require the primary of this term; zero for none
	Floor       ident.LogPosition // require this mark; zero for none
	MaxAgeMS    int64             // with a Floor or alone: require data this fresh; zero for any
	RequestID   stmt.RequestID
	Digest      string
	// ReadOnly makes the transaction read-only on the endpoint.
	ReadOnly bool
	// LastWrite asks for the mark of the connection's last write afterwards.
	LastWrite bool
}

// call is one function call of a prelude.
type call struct {
	name string // of the prepared statement
	sql  string
	args [3]string
	n    int
	// numeric is true when the arguments are numbers.
	numeric bool
}

const (
	nameLead    = "mr_lead"
	nameRequire = "mr_require"
	nameOnce    = "mr_once"
	nameLast    = "mr_last"
	nameReader  = "mr_reader"
)

const lastWriteSQL = "SELECT * FROM " + group.FnLastWrite

// calls appends the calls of the prelude to list, in order.
func (p *Preconditions) calls(list []call) []call {
	if p.ReadOnly {
		list = append(list, call{name: nameReader, sql: "SET TRANSACTION READ ONLY"})
	}
	if p.PrimaryTerm != 0 {
		list = append(list, call{name: nameLead, sql: "SELECT " + group.FnRequirePrimary + "($1)", args: [3]string{strconv.FormatInt(int64(p.PrimaryTerm), 10)}, n: 1, numeric: true})
	}
	if !p.Floor.Zero() || p.MaxAgeMS > 0 {
		list = append(list, call{name: nameRequire, sql: "SELECT " + group.FnRequire + "($1, $2, $3)", args: [3]string{
			strconv.FormatInt(int64(p.Floor.Term), 10),
			strconv.FormatInt(int64(p.Floor.Position), 10),
			strconv.FormatInt(p.MaxAgeMS, 10),
		}, n: 3, numeric: true})
	}
	if p.RequestID != "" {
		list = append(list, call{name: nameOnce, sql: "SELECT " + group.FnOnce + "($1, $2)", args: [3]string{string(p.RequestID), p.Digest}, n: 2})
	}
	return list
}

// text prints the call as a statement of a simple query.
func (c *call) text(buf []byte) []byte {
	if c.n == 0 {
		buf = append(buf, c.sql...)
		return append(buf, "; "...)
	}
	open := len(c.sql)
	for i := range len(c.sql) {
		if c.sql[i] == '(' {
			open = i
			break
		}
	}
	buf = append(buf, c.sql[:open+1]...)
	for i := range c.n {
		if i > 0 {
			buf = append(buf, ", "...)
		}
		if c.numeric {
			buf = append(buf, c.args[i]...)
			continue
		}
		buf = appendLiteral(buf, c.args[i])
	}
	return append(buf, "); "...)
}

// appendLiteral adds s as an SQL literal. A backslash needs the E form, whose
// meaning does not depend on standard_conforming_strings.
func appendLiteral(buf []byte, s string) []byte {
	if strings.Contains(s, "\\") {
		buf = append(buf, 'E')
	}
	buf = append(buf, '\'')
	for i := range len(s) {
		if s[i] == '\'' || s[i] == '\\' {
			buf = append(buf, s[i])
		}
		buf = append(buf, s[i])
	}
	return append(buf, '\'')
}

package back

import (
	"strconv"
	"strings"

	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Preconditions are checked by the endpoint in the same exchange, before the
// statements of a batch. When a check fails, nothing of the batch runs.
type Preconditions struct {
	PrimaryTerm ident.Term        // require the primary of this term; zero for none
	Floor       ident.LogPosition // require data up to this log position; zero for none
	MaxAgeMS    int64             // require data at most this old, in milliseconds; zero for any
	RequestID   stmt.RequestID
	Digest      string
	// ReadOnly makes the transaction read-only on the endpoint.
	ReadOnly bool
	// LastWrite reads the log position of the connection's last write after
	// the batch.
	LastWrite bool
}

// call is one statement of the preconditions, usually a function call.
type call struct {
	name     string // of the prepared statement
	sql      string
	args     [3]string
	argCount int
	// numeric is true when the arguments are numbers.
	numeric bool
}

const (
	nameRequirePrimary = "mr_lead"
	nameRequireData    = "mr_require"
	nameOnce           = "mr_once"
	nameLastWrite      = "mr_last"
	nameReadOnly       = "mr_reader"
)

const lastWriteSQL = "SELECT * FROM " + group.FnLastWrite

// calls appends the calls that check the preconditions to list, in order.
func (p *Preconditions) calls(list []call) []call {
	if p.ReadOnly {
		list = append(list, call{name: nameReadOnly, sql: "SET TRANSACTION READ ONLY"})
	}
	if p.PrimaryTerm != 0 {
		list = append(list, call{name: nameRequirePrimary, sql: "SELECT " + group.FnRequirePrimary + "($1)", args: [3]string{strconv.FormatInt(int64(p.PrimaryTerm), 10)}, argCount: 1, numeric: true})
	}
	if !p.Floor.Zero() || p.MaxAgeMS > 0 {
		list = append(list, call{name: nameRequireData, sql: "SELECT " + group.FnRequireData + "($1, $2, $3)", args: [3]string{
			strconv.FormatInt(int64(p.Floor.Term), 10),
			strconv.FormatInt(int64(p.Floor.Position), 10),
			strconv.FormatInt(p.MaxAgeMS, 10),
		}, argCount: 3, numeric: true})
	}
	if p.RequestID != "" {
		list = append(list, call{name: nameOnce, sql: "SELECT " + group.FnOnce + "($1, $2)", args: [3]string{string(p.RequestID), p.Digest}, argCount: 2})
	}
	return list
}

// appendText appends the call as a statement of a simple query.
func (c *call) appendText(buf []byte) []byte {
	if c.argCount == 0 {
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
	for i := range c.argCount {
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

// appendLiteral appends s as an SQL literal. A backslash requires the E'...' form,
// whose meaning does not depend on standard_conforming_strings.
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

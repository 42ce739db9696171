// Package stmt analyses a statement: what kind of work its text requests, which
// request identifier its caller set, and how to proceed when it failed. The
// package is pure. It reads the leading words of a text only to choose where to
// send it. The endpoint determines what the text actually does.
package stmt

import "strings"

// Kind is what a statement requests, according to its leading words.
type Kind uint8

// The kinds of statement.
const (
	Empty         Kind = iota // contains no word
	Read                      // may run on a replica
	Write                     // goes to the primary
	Begin                     // starts a transaction
	BeginReadOnly             // starts a read-only transaction
	Commit                    // commits a transaction
	Rollback                  // rolls a transaction back
	Set                       // changes a setting of the session
	Unsupported               // needs a dedicated connection
)

// Text is a statement as its caller sent it, with the result of its analysis.
type Text struct {
	SQL         string // without the request identifier's comment
	Kind        Kind
	Multiple    bool // the text may contain more than one statement
	LeavesState bool // may leave state on the connection
	LeavesLocks bool // may leave a session-level lock
	Request     RequestID
}

// Scan analyses sql.
func Scan(sql string) Text {
	plain, id := cutRequest(sql)
	t := Text{SQL: plain, Request: id}
	head := skipBlank(plain)
	word, rest := cutWord(head)
	t.Kind = kindOf(word, rest)
	t.Multiple = hasMultiple(head)
	t.LeavesState = leavesState(plain)
	t.LeavesLocks = t.LeavesState && leavesLocks(plain)
	return t
}

func kindOf(word, rest string) Kind {
	switch strings.ToUpper(word) {
	case "":
		if rest != "" {
			return Write
		}
		return Empty
	case "SELECT", "VALUES", "TABLE", "SHOW", "EXPLAIN":
		return Read
	case "BEGIN", "START":
		return beginKind(rest)
	case "COMMIT", "END":
		return Commit
	case "ROLLBACK", "ABORT":
		return rollbackKind(rest)
	case "SET", "RESET":
		return setKind(rest)
	case "COPY", "LISTEN", "UNLISTEN", "NOTIFY", "PREPARE", "EXECUTE", "DEALLOCATE", "DISCARD", "LOAD", "DECLARE", "FETCH", "MOVE", "CLOSE":
		return Unsupported
	}
	return Write
}

func beginKind(rest string) Kind {
	upper := strings.ToUpper(rest)
	if strings.Contains(upper, "READ ONLY") {
		return BeginReadOnly
	}
	return Begin
}

func rollbackKind(rest string) Kind {
	word, tail := cutWord(skipBlank(rest))
	switch strings.ToUpper(word) {
	case "TO":
		return Write
	case "WORK", "TRANSACTION":
		return rollbackKind(tail)
	}
	return Rollback
}

func setKind(rest string) Kind {
	word, _ := cutWord(skipBlank(rest))
	switch strings.ToUpper(word) {
	case "LOCAL", "TRANSACTION", "CONSTRAINTS":
		return Write
	}
	return Set
}

// hasMultiple reports whether text follows the first semicolon. It also counts
// semicolons in literals, which can only cause false positives.
func hasMultiple(sql string) bool {
	_, rest, found := strings.Cut(sql, ";")
	return found && skipBlank(rest) != ""
}

// skipBlank skips white space, comments and empty statements at the start.
func skipBlank(sql string) string {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n\f;(")
		switch {
		case strings.HasPrefix(sql, "--"):
			_, sql, _ = strings.Cut(sql, "\n")
		case strings.HasPrefix(sql, "/*"):
			sql = skipBlockComment(sql)
		default:
			return sql
		}
	}
}

// skipBlockComment skips a block comment. Block comments nest.
func skipBlockComment(sql string) string {
	depth := 0
	for i := 0; i+1 < len(sql); i++ {
		switch sql[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
		}
		if depth == 0 {
			return sql[i+1:]
		}
	}
	return ""
}

func cutWord(sql string) (word, rest string) {
	i := 0
	for i < len(sql) && isWord(sql[i]) {
		i++
	}
	return sql[:i], sql[i:]
}

func isWord(c byte) bool {
	return c == '_' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

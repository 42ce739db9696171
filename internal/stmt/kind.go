// Package stmt decides about one statement: what kind of work its text asks
// for, which identifier its caller gave it, and what may be said or done when
// it failed. The package is pure. It reads the leading words of a text only to
// choose where to send it; the endpoint proves what the text does.
package stmt

import "strings"

// Kind says what a statement's leading word asks for.
type Kind uint8

// The kinds of statement.
const (
	Empty       Kind = iota // no word at all
	Read                    // may be tried on a replica
	Write                   // goes to the primary
	Begin                   // opens a transaction
	BeginRead               // opens a read-only transaction
	Commit                  // ends a transaction with effect
	Rollback                // ends a transaction without effect
	Set                     // changes a setting of the session
	Unsupported             // needs a connection of its own
)

// Text is a statement as its caller sent it, with what the proxy reads in it.
type Text struct {
	SQL         string // without the request identifier's comment
	Kind        Kind
	Multiple    bool // more than one statement may stand in the text
	LeavesState bool // may leave state on a connection
	LeavesLocks bool // may leave a lock that others wait for
	Request     RequestID
}

// Scan reads the leading words and the request identifier of sql.
func Scan(sql string) Text {
	plain, id := cutRequest(sql)
	t := Text{SQL: plain, Request: id}
	head := skipBlank(plain)
	word, rest := cutWord(head)
	t.Kind = kindOf(word, rest)
	t.Multiple = several(head)
	t.LeavesState = dirties(plain)
	t.LeavesLocks = t.LeavesState && locks(plain)
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
		return BeginRead
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

// several reports whether text follows the first semicolon. A semicolon in a
// literal counts too, which only makes the answer more careful.
func several(sql string) bool {
	_, rest, found := strings.Cut(sql, ";")
	return found && skipBlank(rest) != ""
}

// skipBlank drops white space, comments and empty statements at the start.
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

// skipBlockComment drops a block comment; such comments nest.
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

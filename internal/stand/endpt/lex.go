package endpt

import "strings"

type tokenKind uint8

const (
	wordToken tokenKind = iota + 1
	textToken
	numberToken
	paramToken
	symbolToken
)

type lexeme struct {
	kind tokenKind
	text string // words in lower case unless they were quoted
}

// lex splits SQL text into lexemes and skips comments.
func lex(sql string) ([]lexeme, error) {
	var out []lexeme
	for i := 0; i < len(sql); {
		c := sql[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			i++
		case strings.HasPrefix(sql[i:], "--"):
			i = lineEnd(sql, i)
		case strings.HasPrefix(sql[i:], "/*"):
			n := commentEnd(sql, i)
			if n < 0 {
				return nil, syntaxError("unterminated comment")
			}
			i = n
		case c == '\'' || c == '"':
			text, n, ok := quoted(sql, i)
			if !ok {
				return nil, syntaxError("unterminated quoted text")
			}
			kind := textToken
			if c == '"' {
				kind = wordToken
			}
			out = append(out, lexeme{kind, text})
			i = n
		case c == '$' || isDigit(c):
			n := span(sql, i+1, func(b byte) bool { return isDigit(b) || (c != '$' && b == '.') })
			if c == '$' {
				out = append(out, lexeme{paramToken, sql[i+1 : n]})
			} else {
				out = append(out, lexeme{numberToken, sql[i:n]})
			}
			i = n
		case isLetter(c):
			n := span(sql, i, func(b byte) bool { return isLetter(b) || isDigit(b) })
			out = append(out, lexeme{wordToken, strings.ToLower(sql[i:n])})
			i = n
		case strings.HasPrefix(sql[i:], "::"):
			out = append(out, lexeme{symbolToken, "::"})
			i += 2
		default:
			out = append(out, lexeme{symbolToken, sql[i : i+1]})
			i++
		}
	}
	return out, nil
}

func lineEnd(sql string, i int) int {
	if n := strings.IndexByte(sql[i:], '\n'); n >= 0 {
		return i + n + 1
	}
	return len(sql)
}

func commentEnd(sql string, i int) int {
	depth := 0
	for i < len(sql) {
		switch {
		case strings.HasPrefix(sql[i:], "/*"):
			depth++
			i += 2
		case strings.HasPrefix(sql[i:], "*/"):
			depth--
			i += 2
			if depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	return -1
}

func quoted(sql string, i int) (text string, next int, ok bool) {
	q := sql[i]
	var b strings.Builder
	for i++; i < len(sql); i++ {
		if sql[i] != q {
			b.WriteByte(sql[i])
			continue
		}
		if i+1 < len(sql) && sql[i+1] == q {
			b.WriteByte(q)
			i++
			continue
		}
		return b.String(), i + 1, true
	}
	return "", i, false
}

func span(sql string, i int, in func(byte) bool) int {
	for i < len(sql) && in(sql[i]) {
		i++
	}
	return i
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isLetter(c byte) bool {
	return c == '_' || (c|0x20) >= 'a' && (c|0x20) <= 'z' || c >= 0x80
}

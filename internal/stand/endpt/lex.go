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
	text string // words are in lower case unless they were quoted
}

// lex splits SQL text into lexemes and skips comments.
func lex(sql string) ([]lexeme, error) {
	var out []lexeme
	for i := 0; i < len(sql); {
		n, err := skipBlank(sql, i)
		if err != nil {
			return nil, err
		}
		if n > i {
			i = n
			continue
		}
		l, n, err := readLexeme(sql, i)
		if err != nil {
			return nil, err
		}
		out = append(out, l)
		i = n
	}
	return out, nil
}

// skipBlank returns the offset after white space or a comment at i.
func skipBlank(sql string, i int) (int, error) {
	switch {
	case strings.IndexByte(" \t\n\r", sql[i]) >= 0:
		return i + 1, nil
	case strings.HasPrefix(sql[i:], "--"):
		return lineEnd(sql, i), nil
	case strings.HasPrefix(sql[i:], "/*"):
		n := commentEnd(sql, i)
		if n < 0 {
			return 0, syntaxError("unterminated comment")
		}
		return n, nil
	}
	return i, nil
}

// readLexeme returns the lexeme at i and the offset after it.
func readLexeme(sql string, i int) (lexeme, int, error) {
	switch c := sql[i]; {
	case c == '\'' || c == '"':
		text, n, ok := quoted(sql, i)
		if !ok {
			return lexeme{}, 0, syntaxError("unterminated quoted text")
		}
		if c == '"' {
			return lexeme{wordToken, text}, n, nil
		}
		return lexeme{textToken, text}, n, nil
	case c == '$':
		n := span(sql, i+1, isDigit)
		return lexeme{paramToken, sql[i+1 : n]}, n, nil
	case isDigit(c):
		n := span(sql, i, func(b byte) bool { return isDigit(b) || b == '.' })
		return lexeme{numberToken, sql[i:n]}, n, nil
	case isLetter(c):
		n := span(sql, i, func(b byte) bool { return isLetter(b) || isDigit(b) })
		return lexeme{wordToken, strings.ToLower(sql[i:n])}, n, nil
	case strings.HasPrefix(sql[i:], "::"):
		return lexeme{symbolToken, "::"}, i + 2, nil
	}
	return lexeme{symbolToken, sql[i : i+1]}, i + 1, nil
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

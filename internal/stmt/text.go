package stmt

import "strings"

// EndsTransaction reports whether the last statement of a text with multiple
// statements ends the transaction.
func (t *Text) EndsTransaction() bool {
	if !t.Multiple {
		return false
	}
	at := strings.LastIndexByte(strings.TrimRight(t.SQL, " \t\r\n\f;"), ';')
	word, rest := cutWord(skipBlank(t.SQL[at+1:]))
	kind := kindOf(word, rest)
	return kind == Commit || kind == Rollback
}

// MayReturnRows reports whether the text may return rows.
func (t *Text) MayReturnRows() bool {
	if t.Kind == Read {
		return true
	}
	head, _ := cutWord(skipBlank(t.SQL))
	return strings.EqualFold(head, "WITH") || strings.Contains(strings.ToUpper(t.SQL), "RETURNING")
}

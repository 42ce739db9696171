package stmt

import "strings"

// dirtyWords are what may leave state on a connection after a transaction.
var dirtyWords = []string{
	"SET", "TEMP", "TEMPORARY", "PG_TEMP", "ADVISORY", "SET_CONFIG", "PREPARE", "DEALLOCATE",
	"DISCARD", "LISTEN", "HOLD", "SETVAL", "LOAD",
}

// dirtyPrefixes begin the functions that take locks of a whole session.
var dirtyPrefixes = []string{"PG_ADVISORY", "PG_TRY_ADVISORY"}

// unicodeName begins a name that is spelled in escapes, which no list of words
// recognises.
const unicodeName = `U&"`

// dirties reports whether any word of sql may leave state on a connection. It
// reads the words of comments and literals too, which only makes the answer
// more careful. An UPDATE needs the word SET, so there only a second one counts.
func dirties(sql string) bool {
	if strings.Contains(strings.ToUpper(sql), unicodeName) {
		return true
	}
	// A comment hides where a statement starts and whose word an UPDATE is.
	comments := strings.Contains(sql, "--") || strings.Contains(sql, "/*")
	starts, updates := true, 0
	for rest := sql; rest != ""; {
		word, tail := cutWord(rest)
		if word == "" {
			if rest[0] == ';' {
				starts, updates = true, 0
			}
			rest = rest[1:]
			continue
		}
		rest = tail
		switch {
		case starts && runsCode(word):
			return true
		case strings.EqualFold(word, "UPDATE") && !comments:
			updates++
		case strings.EqualFold(word, "SET") && updates > 0:
			updates--
		case dirtyWord(word):
			return true
		}
		starts = comments && starts
	}
	return false
}

// runsCode reports whether a leading word runs code that no word of the text
// need show.
func runsCode(word string) bool {
	return strings.EqualFold(word, "DO") || strings.EqualFold(word, "CALL")
}

// locks reports whether a dirtying text may take a lock of the whole session.
// Code that no word shows is taken for harmless here: it costs the connection.
func locks(sql string) bool {
	upper := strings.ToUpper(sql)
	return strings.Contains(upper, "PG_ADVISORY_LOCK") || strings.Contains(upper, "PG_TRY_ADVISORY_LOCK")
}

func dirtyWord(word string) bool {
	for _, w := range dirtyWords {
		if strings.EqualFold(word, w) {
			return true
		}
	}
	for _, p := range dirtyPrefixes {
		if len(word) > len(p) && strings.EqualFold(word[:len(p)], p) {
			return true
		}
	}
	return false
}

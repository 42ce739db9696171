package stmt

import "strings"

// stateWords are words of statements that may leave state on a connection after
// a transaction.
var stateWords = []string{
	"SET", "TEMP", "TEMPORARY", "PG_TEMP", "ADVISORY", "SET_CONFIG", "PREPARE", "DEALLOCATE",
	"DISCARD", "LISTEN", "HOLD", "SETVAL", "LOAD",
}

// sessionLockPrefixes start the names of functions that take session-level
// locks.
var sessionLockPrefixes = []string{"PG_ADVISORY", "PG_TRY_ADVISORY"}

// unicodeNamePrefix starts an identifier written in Unicode escapes. Such an
// identifier could hide any word.
const unicodeNamePrefix = `U&"`

// leavesState reports whether any word of sql may leave state on a connection.
// It also reads the words in comments and literals, which can only cause false
// positives. An UPDATE contains the word SET, so a SET that belongs to an
// UPDATE does not count.
func leavesState(sql string) bool {
	if strings.Contains(strings.ToUpper(sql), unicodeNamePrefix) {
		return true
	}
	// With comments in the text it is uncertain where a statement starts and
	// which words belong to an UPDATE.
	hasComments := strings.Contains(sql, "--") || strings.Contains(sql, "/*")
	atStart, pendingUpdates := true, 0
	for rest := sql; rest != ""; {
		word, tail := cutWord(rest)
		if word == "" {
			if rest[0] == ';' {
				atStart, pendingUpdates = true, 0
			}
			rest = rest[1:]
			continue
		}
		rest = tail
		switch {
		case atStart && runsCode(word):
			return true
		case strings.EqualFold(word, "UPDATE") && !hasComments:
			pendingUpdates++
		case strings.EqualFold(word, "SET") && pendingUpdates > 0:
			pendingUpdates--
		case isStateWord(word):
			return true
		}
		atStart = hasComments && atStart
	}
	return false
}

// runsCode reports whether a statement that starts with word runs code that its
// text need not show.
func runsCode(word string) bool {
	return strings.EqualFold(word, "DO") || strings.EqualFold(word, "CALL")
}

// leavesLocks reports whether a text that leaves state may take a session-level
// lock. Code that the text does not show is assumed to take none, because a
// positive answer costs the connection.
func leavesLocks(sql string) bool {
	upper := strings.ToUpper(sql)
	return strings.Contains(upper, "PG_ADVISORY_LOCK") || strings.Contains(upper, "PG_TRY_ADVISORY_LOCK")
}

func isStateWord(word string) bool {
	for _, w := range stateWords {
		if strings.EqualFold(word, w) {
			return true
		}
	}
	for _, p := range sessionLockPrefixes {
		if len(word) > len(p) && strings.EqualFold(word[:len(p)], p) {
			return true
		}
	}
	return false
}

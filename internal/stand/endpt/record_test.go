package endpt

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// naiveCommonPosition compares two logs record by record from the end.
func naiveCommonPosition(a, b []ident.Term) ident.Position {
	for p := min(len(a), len(b)); p > 0; p-- {
		if a[p-1] == b[p-1] {
			return ident.Position(p)
		}
	}
	return 0
}

func drawTerms(t *rapid.T, label string) []ident.Term {
	steps := rapid.SliceOfN(rapid.IntRange(0, 2), 0, 12).Draw(t, label)
	term, out := ident.Term(1), []ident.Term(nil)
	for _, s := range steps {
		term += ident.Term(s)
		out = append(out, term)
	}
	return out
}

func logOf(terms []ident.Term) *recordLog {
	log := &recordLog{}
	for i, term := range terms {
		log.add(record{Term: term, Position: ident.Position(i + 1)})
	}
	return log
}

func TestCommonPositionMatchesNaiveImplementation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawTerms(t, "a"), drawTerms(t, "b")
		x, y := logOf(a), logOf(b)
		got := commonPosition(x.runs, x.last().Position, y.runs, y.last().Position)
		if want := naiveCommonPosition(a, b); got != want {
			t.Fatalf("common position of %v and %v is %d, want %d", a, b, got, want)
		}
		x.truncate(got)
		if x.last().Position != got || termAt(x.runs, got) != x.last().Term {
			t.Fatalf("truncated to %v", x.last())
		}
	})
}

func TestCoveringPositionOfEndedTerms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := drawTerms(t, "log")
		log := logOf(terms)
		pos := ident.LogPosition{
			Term:     ident.Term(rapid.IntRange(1, 20).Draw(t, "term")),
			Position: ident.Position(rapid.IntRange(1, 20).Draw(t, "position")),
		}
		want, known := naiveCoveringPosition(terms, pos)
		got, ok := log.coveringPosition(pos)
		if ok != known || got != want {
			t.Fatalf("covering position of %v in %v is %d %v, want %d %v", pos, terms, got, ok, want, known)
		}
	})
}

// naiveCoveringPosition walks the log to the first record of a later term.
func naiveCoveringPosition(terms []ident.Term, pos ident.LogPosition) (ident.Position, bool) {
	known := false
	for i, term := range terms {
		if term > pos.Term {
			return min(pos.Position, ident.Position(i)), true
		}
		known = term == pos.Term
	}
	if known {
		return pos.Position, true
	}
	return 0, false
}

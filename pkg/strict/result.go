package strict

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Result is the result of reading a text. The caller of Read adds the problems
// that its own checks find, and the Result adds their positions.
type Result struct {
	text       []byte
	index      *index // nil until the first problem needs it
	reported   map[string]bool
	mistyped   map[string]bool // fields of the wrong type, whose parts are not checked
	problems   FieldErrors
	unreadable bool
}

// Defaulter is implemented by structs with optional fields. SetDefaults is
// called before the struct is filled from the text.
type Defaulter interface{ SetDefaults() }

// Read decodes text into the struct that into points to. The Result holds a
// problem for each unknown field, wrong type and value out of range.
func Read(text []byte, maxBytes int, into any) *Result {
	s := &Result{text: text, reported: map[string]bool{}, mistyped: map[string]bool{}}
	if len(text) > maxBytes {
		s.fail(Problem{Wrong: "the text is too large", Allowed: fmt.Sprintf("at most %d bytes", maxBytes)})
		return s
	}
	if problem, ok := exceedsLimits(text); ok {
		s.fail(problem)
		return s
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		s.fail(syntaxProblem(err))
		return s
	}
	s.fill(reflect.ValueOf(into).Elem(), tree, "")
	return s
}

// Unreadable reports whether the text could not be decoded at all. Further
// checks would then only report consequences of the one problem.
func (s *Result) Unreadable() bool { return s.unreadable }

// Report adds a problem of a field. Only the first problem of each field is
// kept. Problems in parts of a field that has the wrong type are ignored.
func (s *Result) Report(field, wrong, allowed string) {
	if s.reported[field] || s.insideMistyped(field) {
		return
	}
	s.reported[field] = true
	s.problems = append(s.problems, Problem{Position: s.position(field), Field: field, Wrong: wrong, Allowed: allowed})
}

func (s *Result) insideMistyped(field string) bool {
	for field != "" {
		field = parent(field)
		if s.mistyped[field] {
			return true
		}
	}
	return false
}

// Err returns the problems as FieldErrors, or nil if there are none.
func (s *Result) Err() error {
	if len(s.problems) == 0 {
		return nil
	}
	s.problems.sort()
	return s.problems
}

func (s *Result) fail(p Problem) {
	s.unreadable = true
	s.problems = append(s.problems, p)
}

// position returns the position of the field, or of its nearest parent in the
// text if the field is missing.
func (s *Result) position(field string) Position {
	if s.index == nil {
		s.index = newIndex(s.text)
	}
	return s.index.find(field)
}

func syntaxProblem(err error) Problem {
	var d *toml.DecodeError
	if !errors.As(err, &d) {
		return Problem{Wrong: err.Error(), Allowed: "TOML 1.0"}
	}
	line, column := d.Position()
	return Problem{
		Position: Position{Line: line, Column: column},
		Field:    strings.Join(d.Key(), "."),
		Wrong:    strings.TrimPrefix(d.Error(), "toml: "),
		Allowed:  "TOML 1.0",
	}
}

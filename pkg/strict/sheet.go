package strict

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Result is a text that was read. Its owner adds the problems that its own
// rules find; the sheet knows their places.
type Result struct {
	text     []byte
	places   *places // nil until a problem needs one
	reported map[string]bool
	unread   map[string]bool // fields of a wrong type, whose parts are unknown
	problems FieldErrors
	broken   bool
}

// Defaulter is a struct with fields that a text may leave out. SetDefaults is
// called before the text is filled in.
type Defaulter interface{ SetDefaults() }

// Read reads text into the struct that into points to. The sheet holds a
// problem for each unknown field, wrong type and value out of range.
func Read(text []byte, maxBytes int, into any) *Result {
	s := &Result{text: text, reported: map[string]bool{}, unread: map[string]bool{}}
	if len(text) > maxBytes {
		s.refuse(Problem{Wrong: "the text is too large", Allowed: fmt.Sprintf("at most %d bytes", maxBytes)})
		return s
	}
	if problem, ok := crowded(text); ok {
		s.refuse(problem)
		return s
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		s.refuse(syntaxProblem(err))
		return s
	}
	s.fill(reflect.ValueOf(into).Elem(), tree, "")
	return s
}

// HasErrors reports whether the text could not be read at all, so that checks
// of its fields would only repeat the one problem.
func (s *Result) HasErrors() bool { return s.broken }

// Report adds a problem of a field. A field has one problem at most; the
// first one stays. Parts of a field of the wrong type have none.
func (s *Result) Report(field, wrong, allowed string) {
	if s.reported[field] || s.insideUnread(field) {
		return
	}
	s.reported[field] = true
	s.problems = append(s.problems, Problem{Place: s.place(field), Field: field, Wrong: wrong, Allowed: allowed})
}

func (s *Result) insideUnread(field string) bool {
	for field != "" {
		field = parent(field)
		if s.unread[field] {
			return true
		}
	}
	return false
}

// Err returns the problems as FieldErrors, or nil when there are none.
func (s *Result) Err() error {
	if len(s.problems) == 0 {
		return nil
	}
	s.problems.sort()
	return s.problems
}

func (s *Result) refuse(p Problem) {
	s.broken = true
	s.problems = append(s.problems, p)
}

// place returns where the field stands, or its nearest parent that the text
// has when the field is missing.
func (s *Result) place(field string) Place {
	if s.places == nil {
		s.places = newPlaces(s.text)
	}
	return s.places.find(field)
}

func syntaxProblem(err error) Problem {
	var d *toml.DecodeError
	if !errors.As(err, &d) {
		return Problem{Wrong: err.Error(), Allowed: "TOML 1.0"}
	}
	line, column := d.Position()
	return Problem{
		Place:   Place{Line: line, Column: column},
		Field:   strings.Join(d.Key(), "."),
		Wrong:   strings.TrimPrefix(d.Error(), "toml: "),
		Allowed: "TOML 1.0",
	}
}

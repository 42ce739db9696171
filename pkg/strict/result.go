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
	r := &Result{text: text, reported: map[string]bool{}, mistyped: map[string]bool{}}
	if len(text) > maxBytes {
		r.fail(Problem{Wrong: "the text is too large", Allowed: fmt.Sprintf("at most %d bytes", maxBytes)})
		return r
	}
	if problem, ok := exceedsLimits(text); ok {
		r.fail(problem)
		return r
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		r.fail(syntaxProblem(err))
		return r
	}
	r.fill(reflect.ValueOf(into).Elem(), tree, "")
	return r
}

// Unreadable reports whether the text could not be decoded at all. Further
// checks would then only report consequences of the one problem.
func (r *Result) Unreadable() bool { return r.unreadable }

// Report adds a problem of a field. Only the first problem of each field is
// kept. Problems in parts of a field that has the wrong type are ignored.
func (r *Result) Report(field, wrong, allowed string) {
	if r.reported[field] || r.insideMistyped(field) {
		return
	}
	r.reported[field] = true
	r.problems = append(r.problems, Problem{Position: r.position(field), Field: field, Wrong: wrong, Allowed: allowed})
}

func (r *Result) insideMistyped(field string) bool {
	for field != "" {
		field = parent(field)
		if r.mistyped[field] {
			return true
		}
	}
	return false
}

// Err returns the problems as FieldErrors, or nil if there are none.
func (r *Result) Err() error {
	if len(r.problems) == 0 {
		return nil
	}
	r.problems.sort()
	return r.problems
}

func (r *Result) fail(p Problem) {
	r.unreadable = true
	r.problems = append(r.problems, p)
}

// position returns the position of the field, or of its nearest parent in the
// text if the field is missing.
func (r *Result) position(field string) Position {
	if r.index == nil {
		r.index = newIndex(r.text)
	}
	return r.index.find(field)
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

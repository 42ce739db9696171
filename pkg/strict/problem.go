// Package strict decodes TOML text into a struct and reports all problems at
// once, each with its position, its field and what is allowed. Field names are
// case-sensitive. Apart from ReadFile the package does no I/O.
package strict

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a line and column in the text, counted from 1. The zero Position
// refers to the text as a whole.
type Position struct {
	Line   int
	Column int
}

// Problem is a problem in a text.
type Problem struct {
	// File is the path of the file, empty if the text did not come from a file.
	File string `json:",omitempty"`
	Position
	// Field is the path of the field, such as Groups[0].Endpoints[2].Slots.
	Field string
	// Wrong describes what was found.
	Wrong string
	// Allowed describes what is accepted.
	Allowed string
}

// String returns the problem as a single line for operators.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:", p.File)
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", p.Line, p.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "%s: ", p.Field)
	}
	b.WriteString(p.Wrong)
	if p.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.Allowed)
	}
	return b.String()
}

// FieldErrors is a list of problems, sorted by position. As an error it prints
// one problem per line.
type FieldErrors []Problem

// Error implements error.
func (p FieldErrors) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// WithFile returns a copy of the list whose problems name the file at path.
func (p FieldErrors) WithFile(path string) FieldErrors {
	named := slices.Clone(p)
	for i := range named {
		named[i].File = path
	}
	return named
}

func (p FieldErrors) sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Field, b.Field))
	})
}

// Package strict reads TOML text into a struct and reports everything that is
// wrong with it at once, each problem with its place, its field and what is
// allowed. Field names match exactly. The package does no I/O.
package strict

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Place is a position in the text, counted from 1. The zero Place stands for
// the text as a whole.
type Place struct {
	Line   int
	Column int
}

// Problem is one thing that is wrong with a text.
type Problem struct {
	// File is the path of the text, empty when it did not come from a file.
	File string `json:",omitempty"`
	Place
	// Field is the path of the field, such as Groups[0].Endpoints[2].Slots.
	Field string
	// Wrong says what was found.
	Wrong string
	// Allowed says what would be accepted.
	Allowed string
}

// String returns the problem as one line for operators.
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

// FieldErrors is a list of problems in the order of the text. As an error it
// prints one problem a line.
type FieldErrors []Problem

// Error implements error.
func (p FieldErrors) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
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

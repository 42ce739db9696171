package envdoc

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/marjoramrudder/marjoramrudder/pkg/strict"
)

// MaxBytes limits the size of a document's text.
const MaxBytes = 4 << 20

// Parse parses and checks a document. If the text has problems, the error is a
// strict.FieldErrors that lists all of them.
func Parse(text []byte) (*Document, error) {
	var d Document
	result := strict.Read(text, MaxBytes, &d)
	if !result.Unreadable() {
		check(&d, result.Report)
	}
	if err := result.Err(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Check checks a document that was not parsed from text. It returns all
// problems as strict.FieldErrors without positions.
func Check(d *Document) error {
	var problems strict.FieldErrors
	check(d, func(field, wrong, allowed string) {
		problems = append(problems, strict.Problem{Field: field, Wrong: wrong, Allowed: allowed})
	})
	if len(problems) == 0 {
		return nil
	}
	return problems
}

// Marshal returns the canonical text of a document. Equal documents give equal
// texts, and Parse returns an equal document.
func Marshal(d *Document) ([]byte, error) {
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	e.SetArraysMultiline(true)
	if err := e.Encode(d); err != nil {
		return nil, errors.Wrap(err, "marshal environment document")
	}
	return b.Bytes(), nil
}

// SetDefaults implements strict.Defaulter.
func (r *Route) SetDefaults() { r.Durability = Majority }

// SetDefaults implements strict.Defaulter.
func (a *Account) SetDefaults() { a.Weight = 1 }

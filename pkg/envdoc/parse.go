package envdoc

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/marjoramrudder/marjoramrudder/pkg/strict"
)

// MaxBytes bounds the text of a document.
const MaxBytes = 4 << 20

// Parse reads and checks a document. Its error is a strict.FieldErrors that
// names every problem of the text at once.
func Parse(text []byte) (*Document, error) {
	var d Document
	sheet := strict.Read(text, MaxBytes, &d)
	if !sheet.HasErrors() {
		check(&d, sheet.Report)
	}
	if err := sheet.Err(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Check returns every problem of a document that was not read from text, as
// strict.FieldErrors without places.
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

// Marshal returns the canonical text of a document: the same document always
// gives the same bytes, and Parse gives the document back.
func Marshal(d *Document) ([]byte, error) {
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	e.SetArraysMultiline(true)
	if err := e.Encode(d); err != nil {
		return nil, errors.Wrap(err, "marshal environment document")
	}
	return b.Bytes(), nil
}

// SetDefaults sets what a text may leave out.
func (r *Route) SetDefaults() { r.Durability = Majority }

// SetDefaults sets what a text may leave out.
func (a *Account) SetDefaults() { a.Weight = 1 }

package store

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const termRecordKind = "reigns"

// termRecords stores one row for each group.
type termRecords struct{ table table }

// Record implements TermRecords. It returns ErrConflict if another record of
// the same or a higher term exists.
func (r *termRecords) Record(ctx context.Context, env ident.Environment, record TermRecord) error {
	condition := rowMissing + " OR #Term < :term"
	values := row{}.signed(":term", int64(record.Term))
	existing, err := r.table.put(ctx, "RecordReign", termRecordRow(env, record), condition, values)
	if errors.Is(err, ErrConflict) && existing != nil && termRecordOf(existing) == record {
		return nil
	}
	return errors.Wrapf(err, "record term %d of %s", record.Term, record.Group)
}

// All implements TermRecords.
func (r *termRecords) All(ctx context.Context, env ident.Environment) ([]TermRecord, error) {
	rows, err := r.table.query(ctx, "Reigns", rowQuery{partition: partitionFor(env, termRecordKind)})
	if err != nil {
		return nil, errors.Wrapf(err, "read term records of %s", env)
	}
	all := make([]TermRecord, len(rows))
	for i, row := range rows {
		all[i] = termRecordOf(row)
	}
	return all, nil
}

func termRecordRow(env ident.Environment, r TermRecord) row {
	return newRow(partitionFor(env, termRecordKind), string(r.Group)).
		signed("Term", int64(r.Term)).
		text("Primary", string(r.Primary)).
		text("Author", string(r.PromotedBy))
}

func termRecordOf(r row) TermRecord {
	return TermRecord{
		Group:      ident.Group(r.getText(sortKey)),
		Term:       ident.Term(r.getSigned("Term")),
		Primary:    ident.Endpoint(r.getText("Primary")),
		PromotedBy: ident.Instance(r.getText("Author")),
	}
}

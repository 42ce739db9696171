package store

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const reignKind = "reigns"

// reigns keeps one row for each group.
type reigns struct{ table table }

// Record implements TermRecords. It returns ErrConflict when another reign of
// the same or a higher term stands.
func (r *reigns) Record(ctx context.Context, env ident.Environment, reign TermRecord) error {
	condition := rowMissing + " OR #Term < :term"
	values := row{}.signed(":term", int64(reign.Term))
	standing, err := r.table.put(ctx, "RecordReign", reignRow(env, reign), condition, values)
	if errors.Is(err, ErrConflict) && standing != nil && reignOf(standing) == reign {
		return nil
	}
	return errors.Wrapf(err, "record term %d of %s", reign.Term, reign.Group)
}

// All implements TermRecords.
func (r *reigns) All(ctx context.Context, env ident.Environment) ([]TermRecord, error) {
	rows, err := r.table.query(ctx, "Reigns", list{partition: section(env, reignKind)})
	if err != nil {
		return nil, errors.Wrapf(err, "read reigns of %s", env)
	}
	all := make([]TermRecord, len(rows))
	for i, one := range rows {
		all[i] = reignOf(one)
	}
	return all, nil
}

func reignRow(env ident.Environment, r TermRecord) row {
	return newRow(section(env, reignKind), string(r.Group)).
		signed("Term", int64(r.Term)).
		text("Primary", string(r.Primary)).
		text("Author", string(r.PromotedBy))
}

func reignOf(r row) TermRecord {
	return TermRecord{
		Group:      ident.Group(r.getText(sortKey)),
		Term:       ident.Term(r.getSigned("Term")),
		Primary:    ident.Endpoint(r.getText("Primary")),
		PromotedBy: ident.Instance(r.getText("Author")),
	}
}

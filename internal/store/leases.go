package store

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const leaseKind = "leases"

// leases stores one row for each part of each account.
type leases struct{ table table }

// All implements Leases.
func (l *leases) All(ctx context.Context, env ident.Environment) ([]Lease, error) {
	rows, err := l.table.query(ctx, "Leases", rowQuery{partition: partitionFor(env, leaseKind)})
	if err != nil {
		return nil, errors.Wrapf(err, "read leases of %s", env)
	}
	all := make([]Lease, len(rows))
	for i, r := range rows {
		all[i] = leaseOf(r)
	}
	return all, nil
}

// Swap implements Leases. If the stored record already equals updated, it is
// the caller's own write, whose answer was lost. ErrConflict does not prove
// that updated was never stored: the answer may have been lost and another
// author may have replaced the record before the next attempt.
func (l *leases) Swap(ctx context.Context, env ident.Environment, old, updated Lease) error {
	condition, values := equalsCondition(old)
	existing, err := l.table.put(ctx, "SwapLease", leaseRow(env, updated), condition, values)
	if errors.Is(err, ErrConflict) && existing != nil && leaseOf(existing) == updated {
		return nil
	}
	return errors.Wrapf(err, "swap lease of %s part %d", updated.Key.Account, updated.Key.Part)
}

// equalsCondition returns the condition that the stored record still equals
// old.
func equalsCondition(old Lease) (condition string, values row) {
	if old.Epoch == 0 {
		return rowMissing, nil
	}
	condition = "#Holder = :holder AND #Epoch = :epoch AND #Renewal = :renewal AND #Span = :span AND #Document = :document AND #Witness = :witness"
	values = row{}.
		text(":holder", string(old.Holder)).
		number(":epoch", uint64(old.Epoch)).
		number(":renewal", old.Renewal).
		signed(":span", int64(old.Length)).
		number(":document", uint64(old.Document)).
		text(":witness", string(old.Witness))
	return condition, values
}

func leaseRow(env ident.Environment, l Lease) row {
	return newRow(partitionFor(env, leaseKind), leaseSort(l.Key)).
		text("Account", string(l.Key.Account)).
		number("Part", uint64(l.Key.Part)).
		text("Holder", string(l.Holder)).
		number("Epoch", uint64(l.Epoch)).
		signed("Span", int64(l.Length)).
		number("Renewal", l.Renewal).
		number("Document", uint64(l.Document)).
		text("Witness", string(l.Witness))
}

func leaseOf(r row) Lease {
	return Lease{
		Key: LeaseKey{
			Account: ident.Account(r.getText("Account")),
			Part:    ident.Part(r.getNumber("Part")),
		},
		Holder:   ident.Instance(r.getText("Holder")),
		Epoch:    ident.Epoch(r.getNumber("Epoch")),
		Length:   r.getDuration("Span"),
		Renewal:  r.getNumber("Renewal"),
		Document: ident.Version(r.getNumber("Document")),
		Witness:  ident.Instance(r.getText("Witness")),
	}
}

func leaseSort(k LeaseKey) string { return fmt.Sprintf("%s#%010d", k.Account, k.Part) }

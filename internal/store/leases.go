package store

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const leaseKind = "leases"

// leases keeps one row for each part of each account.
type leases struct{ table table }

// All implements Leases.
func (l *leases) All(ctx context.Context, env ident.Environment) ([]Lease, error) {
	rows, err := l.table.query(ctx, "Leases", list{partition: section(env, leaseKind)})
	if err != nil {
		return nil, errors.Wrapf(err, "read leases of %s", env)
	}
	all := make([]Lease, len(rows))
	for i, r := range rows {
		all[i] = leaseOf(r)
	}
	return all, nil
}

// Swap implements Leases. A record that equals fresh already is the caller's
// own write, whose answer was lost. After ErrConflict fresh does not stand; it
// may have stood for a while, when its answer was lost and another author
// replaced it before the next try.
func (l *leases) Swap(ctx context.Context, env ident.Environment, old, fresh Lease) error {
	condition, values := unchanged(old)
	standing, err := l.table.put(ctx, "SwapLease", leaseRow(env, fresh), condition, values)
	if errors.Is(err, ErrConflict) && standing != nil && leaseOf(standing) == fresh {
		return nil
	}
	return errors.Wrapf(err, "swap lease of %s part %d", fresh.Key.Account, fresh.Key.Part)
}

// unchanged is the condition that the record still equals old.
func unchanged(old Lease) (condition string, values row) {
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
	return newRow(section(env, leaseKind), leaseSort(l.Key)).
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
		Length:   r.getSpan("Span"),
		Renewal:  r.getNumber("Renewal"),
		Document: ident.Version(r.getNumber("Document")),
		Witness:  ident.Instance(r.getText("Witness")),
	}
}

func leaseSort(k LeaseKey) string { return fmt.Sprintf("%s#%010d", k.Account, k.Part) }

package store

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const memberKind = "members"

// members stores one row for each instance.
type members struct{ table table }

// All implements Members.
func (m *members) All(ctx context.Context, env ident.Environment) ([]Member, error) {
	rows, err := m.table.query(ctx, "Members", rowQuery{partition: partitionFor(env, memberKind)})
	if err != nil {
		return nil, errors.Wrapf(err, "read members of %s", env)
	}
	all := make([]Member, len(rows))
	for i, r := range rows {
		all[i] = memberOf(r)
	}
	return all, nil
}

// Put implements Members. A heartbeat that arrives after a later one of the
// same process has no effect. That is not an error.
func (m *members) Put(ctx context.Context, env ident.Environment, member Member) error {
	condition := rowMissing + " OR #Began <> :began OR #Renewal < :renewal"
	values := row{}.number(":began", member.Start).number(":renewal", member.Renewal)
	_, err := m.table.put(ctx, "PutMember", memberRow(env, member), condition, values)
	if errors.Is(err, ErrConflict) {
		return nil
	}
	return errors.Wrapf(err, "write member %s", member.Instance)
}

// Delete implements Members.
func (m *members) Delete(ctx context.Context, env ident.Environment, instance ident.Instance) error {
	err := m.table.remove(ctx, "DeleteMember", partitionFor(env, memberKind), string(instance))
	return errors.Wrapf(err, "delete member %s", instance)
}

func memberRow(env ident.Environment, m Member) row {
	return newRow(partitionFor(env, memberKind), string(m.Instance)).
		text("DataCentre", string(m.DataCentre)).
		text("Peer", m.Peer).
		text("Admin", m.Admin).
		number("Began", m.Start).
		number("Renewal", m.Renewal)
}

func memberOf(r row) Member {
	return Member{
		Instance:   ident.Instance(r.getText(sortKey)),
		DataCentre: ident.DataCentre(r.getText("DataCentre")),
		Peer:       r.getText("Peer"),
		Admin:      r.getText("Admin"),
		Start:      r.getNumber("Began"),
		Renewal:    r.getNumber("Renewal"),
	}
}

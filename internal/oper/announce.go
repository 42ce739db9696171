package oper

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// ErrNotAnnounced reports a version that was not written, since no instance
// could tell half of the others of it.
var ErrNotAnnounced = errors.New("too few instances can be told of the version")

// Announce has one instance tell the others that version may be written now.
// Without any instance in the table service there is nobody to tell.
func (f *Fleet) Announce(ctx context.Context, env ident.Environment, version ident.Version) error {
	members, err := f.Members.All(ctx, env)
	if err != nil {
		return errors.Wrap(err, "read members")
	}
	var failed error
	for _, m := range members {
		err := f.Client.Prepare(ctx, m.Admin, version)
		if err == nil {
			return nil
		}
		failed = errors.CombineErrors(failed, errors.Wrapf(err, "instance %s", m.Instance))
	}
	if failed == nil {
		return nil
	}
	return errors.Mark(errors.Wrapf(failed, "%d instances asked", len(members)), ErrNotAnnounced)
}

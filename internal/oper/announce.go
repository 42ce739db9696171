package oper

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// ErrNotAnnounced reports a version that was not written because no instance
// could announce it to at least half of the others.
var ErrNotAnnounced = errors.New("version could not be announced to enough instances")

// Announce makes one instance announce to the others that version may be
// written now. It does nothing if the table service lists no instances. It
// returns ErrNotAnnounced if every instance failed.
func (f *Fleet) Announce(ctx context.Context, env ident.Environment, version ident.Version) error {
	members, err := f.Members.All(ctx, env)
	if err != nil {
		return errors.Wrap(err, "read members")
	}
	var failures error
	for _, m := range members {
		err := f.Client.Prepare(ctx, m.Admin, version)
		if err == nil {
			return nil
		}
		failures = errors.CombineErrors(failures, errors.Wrapf(err, "instance %s", m.Instance))
	}
	if failures == nil {
		return nil
	}
	return errors.Mark(errors.Wrapf(failures, "tried %d instances", len(members)), ErrNotAnnounced)
}

package main

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "shut down an instance gracefully",
		ArgsUsage: "INSTANCE",
		Flags: append(settingsFlags(), environmentFlag(),
			&cli.StringFlag{Name: "reason", Usage: "`TEXT` to record in the timeline"}),
		Action: withSession(drain),
	}
}

func drain(ctx context.Context, c *cli.Command, s *session) error {
	name, err := argument(c, "INSTANCE")
	if err != nil {
		return err
	}
	members, err := s.platform.Members.All(ctx, s.environment)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(members, func(m store.Member) bool { return string(m.Instance) == name })
	if i < 0 {
		return errors.Wrapf(store.ErrNotFound, "instance %s of %s", name, s.environment)
	}
	return s.client.Drain(ctx, members[i].Admin, c.String("reason"))
}

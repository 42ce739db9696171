package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "emulate the table service, the object store and the list of instances",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true, Usage: "address of the services"},
			&cli.StringFlag{Name: "control", Required: true, Usage: "address of the control interface"},
			&cli.DurationFlag{Name: "list-lag", Usage: "delay until readers see a change of the list"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := plat.Start(ctx, plat.WithConfig(plat.Config{
				Listen:  c.String("listen"),
				Control: c.String("control"),
				ListLag: c.Duration("list-lag"),
				Seed:    1,
			}))
			if err != nil {
				return errors.Wrap(err, "start platform")
			}
			fmt.Println("listening", s.Addr(), "control", s.ControlAddr())
			return errors.Wrap(s.Wait(), "platform")
		},
	}
}

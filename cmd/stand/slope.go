package main

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/slope"
)

func slopeCommand() *cli.Command {
	return &cli.Command{
		Name:  "slope",
		Usage: "measure what control costs as instances, groups and accounts grow, in this process",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "instances", Usage: "of a single shape, in place of all shapes"},
			&cli.IntFlag{Name: "groups", Value: 3, Usage: "of a single shape"},
			&cli.IntFlag{Name: "accounts", Value: 8, Usage: "of a single shape"},
			&cli.IntFlag{Name: "moved", Value: 1, Usage: "groups of a single shape that lose their primary at once"},
			&cli.DurationFlag{Name: "settle", Value: 20 * time.Second, Usage: "from the start to the idle window"},
			&cli.DurationFlag{Name: "window", Value: 10 * time.Second, Usage: "idle, for the rates"},
			&cli.IntFlag{Name: "changes", Value: 3, Usage: "of the configuration"},
			&cli.StringFlag{Name: "json", Usage: "file for the points"},
		},
		Action: runSlope,
	}
}

func runSlope(ctx context.Context, c *cli.Command) error {
	shapes := slope.Shapes()
	if n := c.Int("instances"); n > 0 {
		shapes = []slope.Shape{{Instances: n, Groups: c.Int("groups"), Accounts: c.Int("accounts"), Moved: c.Int("moved")}}
	}
	options := slope.Options{Settle: c.Duration("settle"), Window: c.Duration("window"), Changes: c.Int("changes")}
	var all []*slope.Point
	for _, s := range shapes {
		p, err := slope.Measure(ctx, s, options)
		if err != nil {
			return errors.CombineErrors(err, slope.Print(os.Stdout, all))
		}
		all = append(all, p)
	}
	if err := slope.Print(os.Stdout, all); err != nil {
		return err
	}
	return writeReport(c.String("json"), all)
}

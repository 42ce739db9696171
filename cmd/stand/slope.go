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
		Usage: "measure the cost of the control plane by numbers of instances, groups and accounts, in this process",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "instances", Usage: "number of instances; measures a single shape instead of all"},
			&cli.IntFlag{Name: "groups", Value: 3, Usage: "number of groups of a single shape"},
			&cli.IntFlag{Name: "accounts", Value: 8, Usage: "number of accounts of a single shape"},
			&cli.IntFlag{Name: "moved", Value: 1, Usage: "groups of a single shape that lose their primary simultaneously"},
			&cli.DurationFlag{Name: "settle", Value: 20 * time.Second, Usage: "time from the start to the idle window"},
			&cli.DurationFlag{Name: "window", Value: 10 * time.Second, Usage: "length of the idle window in which rates are measured"},
			&cli.IntFlag{Name: "changes", Value: 3, Usage: "number of configuration changes"},
			&cli.StringFlag{Name: "json", Usage: "`FILE` to write the results to"},
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

package main

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/exper"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "measure deployments under load and faults, in this process",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "profile", Value: []string{"carbonella", "tamarind"}, Usage: "deployment profiles to measure"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "scenarios to run (default: all)"},
			&cli.StringSliceFlag{Name: "version", Usage: "policy versions to run (default: all)"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the requests"},
			&cli.DurationFlag{Name: "length", Value: 30 * time.Second, Usage: "duration of each run"},
			&cli.FloatFlag{Name: "share", Value: 0.5, Usage: "fraction of its rate that each account offers"},
			&cli.StringFlag{Name: "json", Usage: "`FILE` to write the results to"},
			&cli.StringFlag{Name: "plot", Usage: "`DIR` to write plots to"},
		},
		Action: runExperiment,
	}
}

func runExperiment(ctx context.Context, c *cli.Command) error {
	options := exper.Options{Seed: c.Uint64("seed"), Length: c.Duration("length"), Share: c.Float("share")}
	var all []*exper.Result
	for _, name := range c.StringSlice("profile") {
		profile, err := layout.Named(name)
		if err != nil {
			return err
		}
		for _, s := range exper.Scenarios {
			if !selected(c.StringSlice("scenario"), s.Name) {
				continue
			}
			for _, v := range exper.Versions {
				if !selected(c.StringSlice("version"), string(v)) {
					continue
				}
				m, err := exper.Run(ctx, profile, s, v, options)
				if err != nil {
					return errors.Wrap(err, "experiment")
				}
				all = append(all, m)
			}
		}
	}
	if err := exper.Print(os.Stdout, all); err != nil {
		return err
	}
	if dir := c.String("plot"); dir != "" {
		if err := exper.Plot(dir, all); err != nil {
			return err
		}
	}
	return writeReport(c.String("json"), all)
}

func selected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "inject random faults into a running deployment and check its guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Required: true, Usage: "directory written by the layout command"},
			&cli.DurationFlag{Name: "duration", Value: time.Minute, Usage: "duration of the load"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the fault plan and of the requests"},
			&cli.FloatFlag{Name: "share", Value: 0.4, Usage: "fraction of its rate that each account offers"},
			&cli.StringFlag{Name: "json", Usage: "`FILE` to write the report to"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	l, err := layout.Load(c.String("dir"))
	if err != nil {
		return err
	}
	o := soak.Options{Seed: c.Uint64("seed"), Duration: c.Duration("duration"), Share: c.Float("share")}
	report, err := soak.Run(ctx, l, o)
	if err != nil {
		return err
	}
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if err := writeReport(c.String("json"), report); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errViolations
	}
	return nil
}

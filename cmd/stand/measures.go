package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/load"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/watch"
)

func measuresCommand() *cli.Command {
	return &cli.Command{
		Name:  "measures",
		Usage: "print the four measures of a load run and the violated invariants; fails on violations",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Required: true, Usage: "directory written by the layout command"},
			&cli.StringFlag{Name: "report", Required: true, Usage: "`FILE` with the JSON report of the load command"},
		},
		Action: printMeasures,
	}
}

func printMeasures(ctx context.Context, c *cli.Command) error {
	l, err := layout.Load(c.String("dir"))
	if err != nil {
		return err
	}
	report, err := readReport(c.String("report"))
	if err != nil {
		return err
	}
	s := watch.Summarise(ctx, l)
	worst := report.Worst()
	withinQuota, wrongful := 0, 0
	for _, a := range report.Accounts {
		withinQuota, wrongful = withinQuota+a.WithinQuota, wrongful+a.Wrongful
	}
	gap := report.Gaps[0]
	for _, g := range report.Gaps {
		if g.Longest > gap.Longest {
			gap = g
		}
	}
	fmt.Printf("reads served by replicas:  %.1f %%\n", 100*s.ReplicaShare())
	fmt.Printf("longest time without an acknowledged write: %.3f s (group %s, from second %.1f)\n", gap.Longest, gap.Group, gap.From)
	fmt.Printf("worst-served account:      %s, %.2f %% of its requests in time, p50 %.1f ms, p99 %.1f ms\n", worst.Name, 100*worst.InTimeShare(), worst.P50, worst.P99)
	fmt.Printf("refused inside the rate:   %d of %d\n", wrongful, withinQuota)
	for _, i := range s.Invariants {
		fmt.Printf("violated invariant at %s: %s\n", i.Instance, i.Report)
	}
	for _, p := range s.Unreachable {
		fmt.Printf("no answer from %s\n", p)
	}
	if len(s.Invariants)+len(s.Unreachable)+report.Violations.Sum() > 0 {
		return errViolations
	}
	fmt.Println("no invariant or guarantee violated")
	return nil
}

func readReport(path string) (*load.Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read report")
	}
	var r load.Report
	return &r, errors.Wrap(json.Unmarshal(text, &r), "decode report")
}

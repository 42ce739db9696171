package main

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/tally"
)

// standardInput is the name of standard input among the files.
const standardInput = "-"

func failuresCommand() *cli.Command {
	return &cli.Command{
		Name:      "failures",
		Usage:     "count the statements that failed or were late, from the logs of instances on the platform",
		ArgsUsage: "FILE... (- reads standard input)",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "by", Usage: "also count by this `FIELD` of the lines", Value: []string{"Group", "Home", "Endpoint"}},
			outputFlag(),
		},
		Action: failures,
	}
}

func failures(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return usagef("name a log file, or - for standard input")
	}
	var by []tally.Field
	for _, f := range c.StringSlice("by") {
		by = append(by, tally.Field(f))
	}
	summary := tally.NewSummary(by...)
	for _, name := range c.Args().Slice() {
		if err := addFile(summary, name, c.Root().Reader); err != nil {
			return errors.Wrapf(err, "read %s", name)
		}
	}
	report := summary.Report()
	var failed error
	err := show(c, report, func(w io.Writer) { failed = report.WriteText(w) })
	return errors.CombineErrors(failed, err)
}

// addFile counts the statements of a file.
func addFile(s *tally.Summary, name string, standard io.Reader) error {
	if name == standardInput {
		return s.Read(standard)
	}
	f, err := os.Open(name)
	if err != nil {
		return usagef("%v", err)
	}
	defer func() { _ = f.Close() }()
	return s.Read(f)
}

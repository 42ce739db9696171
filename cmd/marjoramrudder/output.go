package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// The formats of --output.
const (
	textOutput = "text"
	jsonOutput = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "output",
		Usage: "`FORMAT` of the output: text or json",
		Value: textOutput,
		Action: func(_ context.Context, _ *cli.Command, format string) error {
			if format != textOutput && format != jsonOutput {
				return usagef("--output is %q, must be text or json", format)
			}
			return nil
		},
	}
}

// show prints value as JSON or calls text, depending on --output.
func show(c *cli.Command, value any, text func(w io.Writer)) error {
	out := c.Root().Writer
	if c.String("output") == jsonOutput {
		return json.NewEncoder(out).Encode(value)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	text(w)
	return w.Flush()
}

// notef prints a message to standard error.
func notef(c *cli.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(c.Root().ErrWriter, format+"\n", args...)
}

func linef(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

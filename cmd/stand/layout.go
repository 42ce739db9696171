package main

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
)

func layoutCommand() *cli.Command {
	return &cli.Command{
		Name:  "layout",
		Usage: "write settings, document and process list of a deployment into a directory",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "profile", Value: "demo", Usage: "demo, carbonella or tamarind"},
			&cli.IntFlag{Name: "proxies", Usage: "number of proxies (default: from the profile)"},
			&cli.StringFlag{Name: "dir", Required: true, Usage: "directory to write into"},
		},
		Action: writeLayout,
	}
}

const dirMode = 0o700

func writeLayout(_ context.Context, c *cli.Command) error {
	profile, err := layout.Named(c.String("profile"))
	if err != nil {
		return err
	}
	if n := c.Int("proxies"); n > 0 {
		profile.Proxies = n
	}
	if err := os.MkdirAll(c.String("dir"), dirMode); err != nil {
		return errors.Wrap(err, "create directory")
	}
	l, err := layout.New(profile, c.String("dir"))
	if err != nil {
		return err
	}
	return l.Write()
}

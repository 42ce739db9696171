package main

import (
	"context"
	"io"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:   "version",
		Usage:  "print the version of the binary",
		Flags:  []cli.Flag{outputFlag()},
		Action: version,
	}
}

// buildInfo is the JSON output of version.
type buildInfo struct {
	Version  string
	Revision string
	Go       string
}

func version(_ context.Context, c *cli.Command) error {
	b := buildInfo{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		b.Version, b.Go = info.Main.Version, info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				b.Revision = s.Value
			}
		}
	}
	return show(c, b, func(w io.Writer) { linef(w, "marjoramrudder %s %s %s", b.Version, b.Revision, b.Go) })
}

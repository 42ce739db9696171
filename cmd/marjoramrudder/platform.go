package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/platform"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run an instance on the platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE` of the platform", Sources: cli.EnvVars(platform.SettingsVariable), Required: true, TakesFile: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			// First, because the signal would end the process.
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			defer signal.Stop(reload)
			settings, err := platform.LoadSettings(c.String("config"))
			if err != nil {
				return usagef("%v", err)
			}
			sink := trace.Install(os.Stdout, string(settings.Instance))
			defer func() { _ = sink.Close() }()
			return platform.Serve(ctx, settings, reload, func() (*platform.Settings, error) {
				return platform.LoadSettings(c.String("config"))
			})
		},
	}
}

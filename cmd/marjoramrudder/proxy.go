package main

import (
	"context"
	"flag"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/conf"
	"github.com/marjoramrudder/marjoramrudder/internal/entry"
)

func proxyCommand() *cli.Command {
	return &cli.Command{
		Name:  "proxy",
		Usage: "serve callers until SIGTERM or SIGINT, then stop gracefully",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "settings `FILE`"},
		},
		Action: runProxy,
	}
}

func runProxy(ctx context.Context, c *cli.Command) error {
	settings, err := conf.Load(c.String("settings"))
	if err != nil {
		return err
	}
	if err := setLogLevel(settings.Log.Level); err != nil {
		return err
	}
	proxy, err := entry.Build(settings, entry.Policies{})
	if err != nil {
		return errors.Wrap(err, "build proxy")
	}
	proxy.Start()
	reason := "signal"
	select {
	case <-ctx.Done():
	case reason = <-proxy.ShutdownRequested():
	}
	klog.InfoS("Stopping", "instance", settings.Instance, "reason", reason)
	return proxy.Stop(context.Background())
}

// setLogLevel makes klog print messages up to the level.
func setLogLevel(level int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return errors.Wrap(flags.Set("v", strconv.Itoa(level)), "set log level")
}

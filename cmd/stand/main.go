// Command stand emulates the platform and the endpoints, and contains the load
// and experiment tools. It isn't part of the product.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := app().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func app() *cli.Command {
	return &cli.Command{
		Name:  "stand",
		Usage: "emulate the platform and the endpoints, and run load tests",
		Commands: []*cli.Command{
			platformCommand(),
			endpointCommand(),
			layoutCommand(),
			loadCommand(),
			measuresCommand(),
			experimentCommand(),
			slopeCommand(),
			soakCommand(),
			linesCommand(),
		},
	}
}

// Command stand holds the stand-ins of the platform and of the endpoints, and
// the load and experiment tool. It is not part of the product.
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
		Usage: "stand-ins of the platform and of the endpoints, and the load tool",
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

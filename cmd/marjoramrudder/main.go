// Command marjoramrudder runs the proxy and contains the tools to operate it.
//
// The exit codes are: 0 success, 1 refused or conflict with another author's
// change, 2 usage error or invalid input, 3 platform or instance unreachable, 4
// accepted but not in force everywhere in time.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	app := newApp(stdout, stderr)
	ran := false
	trackRun(app, &ran)
	err := app.Run(ctx, args)
	if err == nil {
		return exitDone
	}
	_, _ = fmt.Fprintln(stderr, err)
	if !ran {
		return exitUsage
	}
	return exitCode(err)
}

func newApp(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "marjoramrudder",
		Usage:                 "database proxy with session consistency",
		Description:           exitHelp,
		Commands:              commands(),
		EnableShellCompletion: true,
		Suggest:               true,
		Writer:                stdout,
		ErrWriter:             stderr,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Action:                noCommand,
	}
}

// commands returns the top-level commands.
func commands() []*cli.Command {
	return []*cli.Command{
		proxyCommand(),
		platformCommand(),
		envCommand(),
		keyCommand(),
		statusCommand(),
		timelineCommand(),
		failuresCommand(),
		drainCommand(),
		versionCommand(),
	}
}

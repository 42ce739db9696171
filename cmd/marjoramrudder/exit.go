package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/admin"
	"github.com/marjoramrudder/marjoramrudder/internal/oper"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/strict"
)

// The exit codes.
const (
	exitDone        = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnreachable = 3
	exitNotInForce  = 4
)

const exitHelp = `Exit codes:
  0  success
  1  refused, or conflict with another author's change
  2  usage error or invalid input
  3  platform or instance unreachable; a change may have been accepted
  4  accepted, but not in force everywhere in time`

// usageError reports an invalid command line or invalid input.
type usageError string

// Error implements error.
func (e usageError) Error() string { return string(e) }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var problems strict.FieldErrors
	var usage usageError
	var unknown *oper.UnknownError
	switch {
	case errors.Is(err, oper.ErrNotInForce):
		return exitNotInForce
	case errors.As(err, &unknown), errors.Is(err, store.ErrUnavailable), errors.Is(err, admin.ErrUnreachable):
		return exitUnreachable
	case errors.As(err, &problems), errors.As(err, &usage):
		return exitUsage
	}
	return exitRefused
}

func usagef(format string, args ...any) error { return usageError(fmt.Sprintf(format, args...)) }

// trackRun makes every action of c and its subcommands set ran. This
// distinguishes an action that failed from a command line that couldn't be
// parsed.
func trackRun(c *cli.Command, ran *bool) {
	if action := c.Action; action != nil {
		c.Action = func(ctx context.Context, c *cli.Command) error {
			*ran = true
			return action(ctx, c)
		}
	}
	for _, sub := range c.Commands {
		trackRun(sub, ran)
	}
}

// noCommand handles a command line without a known command.
func noCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usagef("unknown command %q", c.Args().First())
	}
	return cli.ShowSubcommandHelp(c)
}

// argument returns the single argument of a command.
func argument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usagef("%s takes one argument, %s", c.FullName(), name)
	}
	return c.Args().First(), nil
}

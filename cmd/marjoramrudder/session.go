package main

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/admin"
	"github.com/marjoramrudder/marjoramrudder/internal/conf"
	"github.com/marjoramrudder/marjoramrudder/internal/oper"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	settingsVariable = "MARJORAMRUDDER_SETTINGS"
	authorVariable   = "USER"
	defaultWait      = 9 * time.Second
	defaultTimeout   = 15 * time.Second
)

// session holds the clients that a command uses to reach the platform and the
// instances.
type session struct {
	settings    *conf.Settings
	platform    *store.Platform
	client      *admin.Client
	fleet       *oper.Fleet
	environment ident.Environment
}

// openSession reads the settings file and creates the clients.
func openSession(c *cli.Command) (*session, error) {
	path := c.String("settings")
	if path == "" {
		return nil, usagef("--settings FILE or %s is required", settingsVariable)
	}
	settings, err := conf.LoadOperator(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, usagef("%v", err)
	}
	if err != nil {
		return nil, err
	}
	platform, err := store.Open(settings.Platform)
	if err != nil {
		return nil, err
	}
	client := admin.NewClient(settings.Peers.Secret)
	s := &session{
		settings:    settings,
		platform:    platform,
		client:      client,
		fleet:       &oper.Fleet{Members: platform.Members, Client: client, Addresses: c.StringSlice("at")},
		environment: settings.Environment,
	}
	if name := c.String("environment"); name != "" {
		s.environment = ident.Environment(name)
	}
	return s, nil
}

func (s *session) editor(c *cli.Command) *oper.Editor {
	e := &oper.Editor{Documents: s.platform.Documents, Author: c.String("author")}
	if !c.Bool("unannounced") {
		e.Announce = s.fleet.Announce
	}
	return e
}

// Close closes the clients.
func (s *session) Close() {
	s.client.Close()
	_ = s.platform.Close()
}

// withSession wraps an action that needs a session. It limits the action to the
// sum of --timeout and --wait.
func withSession(action func(ctx context.Context, c *cli.Command, s *session) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		s, err := openSession(c)
		if err != nil {
			return err
		}
		defer s.Close()
		ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout")+c.Duration("wait"))
		defer cancel()
		return action(ctx, c, s)
	}
}

func settingsFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE` with the addresses of the platform", Sources: cli.EnvVars(settingsVariable), TakesFile: true},
		&cli.DurationFlag{Name: "timeout", Usage: "maximum `DURATION` to wait for the platform", Value: defaultTimeout},
		outputFlag(),
	}
}

func environmentFlag() cli.Flag {
	return &cli.StringFlag{Name: "environment", Usage: "`NAME` of the environment (default: from the settings)"}
}

func atFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:  "at",
		Usage: "administration `ADDRESS` of an instance, may be repeated; works without the table service",
		Validator: func(addresses []string) error {
			for _, a := range addresses {
				if !envdoc.ValidAddress(a) {
					return usagef("--at is %q, allowed: %s", a, envdoc.AddressAllowed)
				}
			}
			return nil
		},
	}
}

func changeFlags() []cli.Flag {
	return append(settingsFlags(),
		&cli.StringFlag{Name: "author", Usage: "`NAME` to record in the history", Sources: cli.EnvVars(authorVariable), Value: "unknown"},
		&cli.BoolFlag{Name: "unannounced", Usage: "write without announcing the version to the instances; only while all instances are down"},
		&cli.DurationFlag{Name: "wait", Usage: "maximum `DURATION` to wait until the version is in force everywhere; 0s does not wait", Value: defaultWait},
	)
}

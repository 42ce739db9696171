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

// session is what a command needs of the platform and of the instances.
type session struct {
	settings    *conf.Settings
	platform    *store.Platform
	client      *admin.Client
	fleet       *oper.Fleet
	environment ident.Environment
}

// openSession reads the settings that the command names.
func openSession(c *cli.Command) (*session, error) {
	path := c.String("settings")
	if path == "" {
		return nil, usagef("--settings FILE or %s is missing", settingsVariable)
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

// Close gives back the connections.
func (s *session) Close() {
	s.client.Close()
	_ = s.platform.Close()
}

// withSession runs an action with an open session and a bounded time.
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
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE` with the platform's addresses", Sources: cli.EnvVars(settingsVariable), TakesFile: true},
		&cli.DurationFlag{Name: "timeout", Usage: "longest `SPAN` to wait for the platform", Value: defaultTimeout},
		outputFlag(),
	}
}

func environmentFlag() cli.Flag {
	return &cli.StringFlag{Name: "environment", Usage: "`NAME` of the environment (default: the one of the settings)"}
}

func atFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:  "at",
		Usage: "administration `ADDRESS` of an instance, several times for several; needs no table service, as in an outage",
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
		&cli.StringFlag{Name: "author", Usage: "`NAME` that the history shows", Sources: cli.EnvVars(authorVariable), Value: "unknown"},
		&cli.BoolFlag{Name: "unannounced", Usage: "write although no instance can tell the others; only while all instances are down"},
		&cli.DurationFlag{Name: "wait", Usage: "longest `SPAN` to wait until the version is in force everywhere; 0s does not wait", Value: defaultWait},
	)
}

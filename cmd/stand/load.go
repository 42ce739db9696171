package main

import (
	"context"
	"encoding/json"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/load"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "load the proxies of a running deployment, check their guarantees and report",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Required: true, Usage: "directory written by the layout command"},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "duration of the load"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the requests"},
			&cli.FloatFlag{Name: "share", Value: 0.5, Usage: "fraction of its rate that each account offers"},
			&cli.StringFlag{Name: "flood", Usage: "`ACCOUNT=FACTOR`: an account that offers a multiple of its rate in the middle third"},
			&cli.FloatFlag{Name: "roam", Value: 0.05, Usage: "probability that a session changes its proxy before a request"},
			&cli.IntFlag{Name: "sessions", Value: 4, Usage: "callers for each account and group"},
			&cli.BoolFlag{Name: "filled", Usage: "skip filling the stock"},
			&cli.StringFlag{Name: "json", Usage: "`FILE` to write the report to"},
		},
		Action: runLoad,
	}
}

// errViolations makes a command fail if a guarantee was violated.
var errViolations = errors.New("guarantees were violated")

func runLoad(ctx context.Context, c *cli.Command) error {
	config, err := loadConfig(c)
	if err != nil {
		return err
	}
	if !c.Bool("filled") {
		if err := load.Fill(ctx, config); err != nil {
			return err
		}
	}
	report, err := load.Run(ctx, config)
	if err != nil {
		return err
	}
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if err := writeReport(c.String("json"), report); err != nil {
		return err
	}
	if report.Violations.Sum() > 0 {
		return errViolations
	}
	return nil
}

func loadConfig(c *cli.Command) (load.Config, error) {
	l, err := layout.Load(c.String("dir"))
	if err != nil {
		return load.Config{}, err
	}
	config := load.Config{
		Duration: c.Duration("duration"),
		Seed:     c.Uint64("seed"),
		Sessions: c.Int("sessions"),
		Roam:     c.Float("roam"),
	}
	for _, p := range l.Proxies {
		config.Proxies = append(config.Proxies, p.Callers)
	}
	for _, g := range l.Groups {
		config.Targets = append(config.Targets, load.Target{
			Group: g.Name, Orders: ident.Route(g.Name), Lookups: layout.LookupRoute(g.Name),
		})
	}
	for _, a := range l.Accounts {
		config.Accounts = append(config.Accounts, load.Account{
			Name: a.Name, Key: a.Key, Rate: a.Rate, Burst: a.Burst, Offered: c.Float("share") * float64(a.Rate),
		})
	}
	return config, flood(&config, c.String("flood"))
}

// flood makes one account offer a multiple of its rate in the middle third of
// the load.
func flood(config *load.Config, text string) error {
	if text == "" {
		return nil
	}
	name, number, _ := strings.Cut(text, "=")
	factor, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return errors.Wrapf(err, "flood %q is not account=factor", text)
	}
	for i := range config.Accounts {
		a := &config.Accounts[i]
		if string(a.Name) == name {
			a.Surge = load.Surge{
				From: config.Duration / 3, Until: 2 * config.Duration / 3,
				Factor: factor * float64(a.Rate) / a.Offered,
			}
			return nil
		}
	}
	return errors.Newf("unknown account %q", name)
}

const reportMode = 0o600

// writeReport writes a report as JSON, unless path is empty.
func writeReport(path string, report any) error {
	if path == "" {
		return nil
	}
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(path, text, reportMode), "write report")
}

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/audit"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/lines"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// readyPollInterval is the time between two readiness checks.
	readyPollInterval = 200 * time.Millisecond
	// readyTimeout limits the wait for an instance to be started and ready.
	readyTimeout = time.Minute
	// callerTimeout exceeds the grace period and the time after it in which a
	// stop can cut a statement. A caller that gives up sooner hides the cut.
	callerTimeout = 8 * time.Second
)

func linesCommand() *cli.Command {
	return &cli.Command{
		Name:  "lines",
		Usage: "emulate the users' platform, load instances on it and check their guarantees",
		Description: "Writes the settings files n1.json, n2.json, ..., waits until the instances are ready " +
			"(marjoramrudder platform --config FILE), runs the load and reports.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Required: true, Usage: "directory for the settings files"},
			&cli.IntFlag{Name: "instances", Value: 3, Usage: "number of instances"},
			&cli.IntFlag{Name: "groups", Value: 2, Usage: "number of database groups"},
			&cli.IntFlag{Name: "servers", Value: 3, Usage: "servers in each group"},
			&cli.IntFlag{Name: "data-centres", Value: 3, Usage: "data centres in which the servers and instances are, in turn"},
			&cli.FloatFlag{Name: "cold-rate", Value: 20, Usage: "statements a second that a server tolerates while it is cold, after a restart or an evacuation"},
			&cli.DurationFlag{Name: "cold-time", Value: 3 * time.Second, Usage: "time for which a server is cold"},
			&cli.IntFlag{Name: "slots", Value: 2, Usage: "statements that run concurrently on a server"},
			&cli.IntFlag{Name: "connections", Value: 16, Usage: "maximum number of connections to a server"},
			&cli.DurationFlag{Name: "work", Value: 10 * time.Millisecond, Usage: "run time of a statement"},
			&cli.DurationFlag{Name: "lag", Value: 20 * time.Millisecond, Usage: "time until reads on a replica see a commit"},
			&cli.DurationFlag{Name: "promote-time", Value: 600 * time.Millisecond, Usage: "duration of a promotion"},
			&cli.IntFlag{Name: "accounts", Value: 4, Usage: "number of client accounts"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "quota of each account in operations a second"},
			&cli.IntFlag{Name: "sessions", Value: 8, Usage: "callers of each account"},
			&cli.IntFlag{Name: "workers", Value: 16, Usage: "callers of each account that run transactions with pauses, session values and prepared statements"},
			&cli.DurationFlag{Name: "pause", Value: 100 * time.Millisecond, Usage: "mean pause between a caller's statements"},
			&cli.FloatFlag{Name: "writes", Value: 0.2, Usage: "fraction of a caller's steps that write"},
			&cli.FloatFlag{Name: "transactions", Value: 0.3, Usage: "fraction of the writes that are transactions"},
			&cli.DurationFlag{Name: "route-timeout", Value: emul.DefaultRouteTimeout, Usage: "timeout of all routes"},
			&cli.DurationFlag{Name: "caller-timeout", Value: callerTimeout, Usage: "time after which a caller gives up a statement"},
			&cli.IntFlag{Name: "held", Value: 1, Usage: "connections of each kind that are held open to each instance with an unfinished message"},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "duration of the load"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			&cli.Uint64Flag{Name: "faults", Usage: "`SEED` of random faults, 0 for none; the process id of instance n1 is read from DIR/pids/n1"},
			&cli.BoolFlag{Name: "series", Usage: "with --faults: instances are struck in series around their restarts, in place of single faults"},
			&cli.BoolFlag{Name: "changes", Usage: "change the configuration all the time, from a few routes to several thousand, and check that it is in force in time"},
			&cli.StringSliceFlag{Name: "fault", Usage: "AT:KIND[:TARGET], as in 5s:crash:g1-a or 3s:storedown; AT counts from the start"},
			&cli.IntFlag{Name: "network", Value: 1, Usage: "instance I listens on 127.0.NETWORK.I, so that several deployments run side by side"},
			&cli.IntFlag{Name: "port", Value: 17401, Usage: "first port of the instances"},
		},
		Action: runLines,
	}
}

func runLines(ctx context.Context, c *cli.Command) error {
	var faults []lines.Fault
	for _, text := range c.StringSlice("fault") {
		f, err := lines.ParseFault(text)
		if err != nil {
			return err
		}
		faults = append(faults, f)
	}
	journal := audit.NewJournal()
	d, err := lines.Open(ctx, lines.DeploymentConfig{
		Groups: c.Int("groups"), Instances: c.Int("instances"), Accounts: c.Int("accounts"), Rate: c.Float("rate"), RouteTimeout: c.Duration("route-timeout"),
		Dir: c.String("dir"), BasePort: c.Int("port"), Network: c.Int("network"), Faults: faults, Seed: c.Uint64("faults"), Signals: true, Length: c.Duration("duration"), Changes: c.Bool("changes"), Series: c.Bool("series"), Journal: journal,
		Group: emul.GroupConfig{
			Servers: c.Int("servers"), Slots: c.Int("slots"), MaxConns: c.Int("connections"), Sync: 1,
			Work: c.Duration("work"), Lag: c.Duration("lag"), PromoteTime: c.Duration("promote-time"), DataCentres: dataCentres(c.Int("data-centres")),
			ColdRate: c.Float("cold-rate"), ColdTime: c.Duration("cold-time"),
		},
	})
	if err != nil {
		return errors.Wrap(err, "start platform")
	}
	for _, f := range d.Faults() {
		fmt.Println("fault", f)
	}
	report, err := runLinesLoad(ctx, c, d, journal)
	if err != nil {
		return errors.CombineErrors(err, d.Close())
	}
	fmt.Print(report)
	for _, v := range report.Details {
		fmt.Println("violation:", v)
	}
	fmt.Printf("acknowledged commits missing on a later primary: %d\n", d.Lost())
	stops := d.CheckStops(report)
	fmt.Print(stops)
	evacuations := d.CheckEvacuations()
	fmt.Print(evacuations)
	config := d.CheckConfig()
	fmt.Print(config)
	rules := d.CheckRecord()
	fmt.Print(rules)
	if report.Violations()+d.Lost()+stops.Violations()+evacuations.Violations()+config.Violations()+rules.Violations() > 0 {
		err = errViolations
	}
	return errors.CombineErrors(err, d.Close())
}

// dataCentres returns the names of data centres.
func dataCentres(count int) []ident.DataCentre {
	var all []ident.DataCentre
	for i := range count {
		all = append(all, ident.DataCentre(fmt.Sprintf("z%d", i+1)))
	}
	return all
}

// runLinesLoad waits until the instances are ready and runs the load.
func runLinesLoad(ctx context.Context, c *cli.Command, d *lines.Deployment, journal *audit.Journal) (*lines.Report, error) {
	var fronts []string
	for i := range c.Int("instances") {
		fmt.Printf("waiting for: marjoramrudder platform --config %s/n%d.json\n", c.String("dir"), i+1)
		if err := awaitReady(ctx, d.ReadyURL(i)); err != nil {
			return nil, err
		}
		fronts = append(fronts, d.Front(i))
	}
	return lines.Load(ctx, lines.LoadConfig{
		Dial: (&net.Dialer{}).DialContext, Fronts: fronts, Routes: d.Routes(), Mixed: d.WorkerRoutes(), Keys: d.Keys(),
		Sessions: c.Int("sessions"), Workers: c.Int("workers"), Journal: journal, Pause: c.Duration("pause"), Writes: c.Float("writes"), Transactions: c.Float("transactions"), Timeout: c.Duration("caller-timeout"), Held: c.Int("held"),
		Duration: c.Duration("duration"), Seed: c.Uint64("seed"),
	})
}

// awaitReady polls an instance's readiness check until it succeeds.
func awaitReady(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return errors.Wrap(err, "build request")
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !tasks.Pause(ctx, readyPollInterval) {
			return errors.Newf("no ready instance at %s", url)
		}
	}
}

package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

func endpointCommand() *cli.Command {
	return &cli.Command{
		Name:  "endpoint",
		Usage: "emulate one database server of a group",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Required: true, Usage: "name of the endpoint"},
			&cli.StringFlag{Name: "listen", Required: true, Usage: "address for callers and replication"},
			&cli.StringFlag{Name: "control", Usage: "address of the control interface"},
			&cli.StringFlag{Name: "peers", Usage: "name=address of the group's endpoints, separated by commas"},
			&cli.StringFlag{Name: "primary", Required: true, Usage: "name of the first primary"},
			&cli.BoolFlag{Name: "rejoin", Usage: "replace a killed process of that name"},
			&cli.DurationFlag{Name: "rejoin-quiet", Value: 2 * time.Second, Usage: "time without a vote after a rejoin"},
			&cli.IntFlag{Name: "slots", Value: 2, Usage: "statements that run concurrently"},
			&cli.IntFlag{Name: "connections", Value: 16, Usage: "maximum number of connections"},
			&cli.DurationFlag{Name: "connect-time", Usage: "time to set up a connection"},
			&cli.DurationFlag{Name: "latency", Usage: "one-way network latency for callers"},
			&cli.DurationFlag{Name: "service-time", Usage: "run time of each statement"},
			&cli.DurationFlag{Name: "replication-lag", Usage: "time from a commit until a replica receives it"},
			&cli.DurationFlag{Name: "apply-lag", Usage: "time from a commit until reads on a replica see it"},
			&cli.StringFlag{Name: "user", Usage: "user name of the proxies; empty accepts any"},
			&cli.StringFlag{Name: "password", Usage: "password of the proxies; empty requires none"},
		},
		Action: runEndpoint,
	}
}

func runEndpoint(ctx context.Context, c *cli.Command) error {
	peers, err := parsePeers(c.String("peers"))
	if err != nil {
		return err
	}
	s, err := endpt.Start(ctx, endpt.Config{
		Name:           ident.Endpoint(c.String("name")),
		Listen:         c.String("listen"),
		Control:        c.String("control"),
		Peers:          peers,
		Primary:        ident.Endpoint(c.String("primary")),
		Rejoin:         c.Bool("rejoin"),
		RejoinQuiet:    c.Duration("rejoin-quiet"),
		Slots:          c.Int("slots"),
		Connections:    c.Int("connections"),
		ConnectTime:    c.Duration("connect-time"),
		Latency:        c.Duration("latency"),
		ServiceTime:    c.Duration("service-time"),
		ReplicationLag: c.Duration("replication-lag"),
		ApplyLag:       c.Duration("apply-lag"),
		User:           c.String("user"),
		Password:       c.String("password"),
	})
	if err != nil {
		return errors.Wrap(err, "start endpoint")
	}
	fmt.Println("listening", s.Addr(), "control", s.ControlAddr())
	<-ctx.Done()
	return errors.Wrap(s.Close(), "close endpoint")
}

func parsePeers(text string) (map[ident.Endpoint]string, error) {
	peers := map[ident.Endpoint]string{}
	for _, p := range strings.Split(text, ",") {
		if p == "" {
			continue
		}
		name, address, ok := strings.Cut(p, "=")
		if !ok {
			return nil, errors.Newf("peer %q is not name=address", p)
		}
		peers[ident.Endpoint(name)] = address
	}
	return peers, nil
}

package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/admin"
	"github.com/marjoramrudder/marjoramrudder/internal/oper"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show the state of every instance of an environment",
		Flags:  append(settingsFlags(), environmentFlag(), atFlag()),
		Action: withSession(status),
	}
}

// fleetStatus is the JSON output of status. Head and TermRecords are empty if
// the instances were queried by address.
type fleetStatus struct {
	Environment ident.Environment
	Head        store.Head
	Instances   []admin.Report
	Unreachable []ident.Instance
	TermRecords []store.TermRecord `json:"Reigns"`
}

func status(ctx context.Context, c *cli.Command, s *session) error {
	all := fleetStatus{Environment: s.environment}
	if !c.IsSet("at") {
		if err := all.readStore(ctx, s.platform); err != nil {
			return err
		}
	}
	answers, err := s.fleet.Status(ctx, s.environment)
	if err != nil {
		return err
	}
	for _, a := range answers {
		if a.Err != nil {
			all.Unreachable = append(all.Unreachable, a.Member.Instance)
			continue
		}
		all.Instances = append(all.Instances, a.Value)
	}
	if err := show(c, all, func(w io.Writer) { printStatus(w, all) }); err != nil {
		return err
	}
	return unreachable(answers)
}

// readStore reads the environment's records from the table service.
func (s *fleetStatus) readStore(ctx context.Context, p *store.Platform) error {
	var err error
	s.Head, err = p.Documents.Head(ctx, s.Environment)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	s.TermRecords, err = p.TermRecords.All(ctx, s.Environment)
	return err
}

// unreachable returns an error that names the instances that didn't answer, or
// nil if all did.
func unreachable[T any](answers []oper.InstanceAnswer[T]) error {
	var names []string
	for _, a := range answers {
		if a.Err != nil {
			names = append(names, string(a.Member.Instance))
		}
	}
	if len(names) == 0 {
		return nil
	}
	return errors.Wrap(admin.ErrUnreachable, strings.Join(names, ", "))
}

func printStatus(w io.Writer, s fleetStatus) {
	if s.Head.Version > 0 {
		linef(w, "%s version %d from %s", s.Environment, s.Head.Version, s.Head.Author)
	}
	linef(w, "INSTANCE\tDATA CENTRE\tVERSION\tSESSIONS\tPEERS\tPRIMARIES")
	for _, r := range s.Instances {
		linef(w, "%s\t%s\t%d\t%d\t%d\t%s", r.Instance, r.DataCentre, r.Version.Version, r.Sessions, connected(r.Peers), primaries(r.Groups))
	}
	for _, i := range s.Unreachable {
		linef(w, "%s\tunreachable", i)
	}
}

func connected(peers []admin.PeerReport) int {
	n := 0
	for _, p := range peers {
		if p.Connected {
			n++
		}
	}
	return n
}

func primaries(groups []admin.GroupReport) string {
	names := make([]string, len(groups))
	for i, g := range groups {
		names[i] = fmt.Sprintf("%s=%s@%d", g.Group, g.Primary, g.Term.Counter())
	}
	return strings.Join(names, " ")
}

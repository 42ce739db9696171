package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
)

const timeLayout = "2006-01-02T15:04:05.000000Z"

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "collect the events of all instances and print them in causal order",
		Flags: append(settingsFlags(), environmentFlag(), atFlag(),
			&cli.Uint64Flag{Name: "since", Usage: "only records after this `SEQUENCE` of each instance"},
			&cli.StringFlag{Name: "group", Usage: "only records about this database group"},
			&cli.StringFlag{Name: "account", Usage: "only records about this client account"}),
		Action: withSession(timeline),
	}
}

func timeline(ctx context.Context, c *cli.Command, s *session) error {
	answers, err := s.fleet.Events(ctx, s.environment, c.Uint64("since"))
	if err != nil {
		return err
	}
	var lists [][]event.Record
	for _, a := range answers {
		lists = append(lists, a.Value.Records)
		if a.Value.Dropped > 0 {
			notef(c, "%s dropped %d records", a.Member.Instance, a.Value.Dropped)
		}
	}
	merged := selectRecords(event.Merge(lists...), c.String("group"), c.String("account"))
	if err := show(c, merged, func(w io.Writer) { printRecords(w, merged) }); err != nil {
		return err
	}
	return unreachable(answers)
}

// selectRecords returns the records about a group and an account. An empty name
// matches all.
func selectRecords(all []event.Record, group, account string) []event.Record {
	kept := []event.Record{}
	for _, r := range all {
		if (group == "" || string(r.Subject.Group) == group) && (account == "" || string(r.Subject.Account) == account) {
			kept = append(kept, r)
		}
	}
	return kept
}

func printRecords(w io.Writer, records []event.Record) {
	for _, r := range records {
		at := time.Unix(0, r.Wall).UTC().Format(timeLayout)
		linef(w, "%s\t%s/%d\t%s\t%s\t%s", at, r.Instance, r.Sequence, r.Kind, subject(r.Subject), noteText(r))
	}
}

// subject formats the fields of a subject that are set.
func subject(s event.Subject) string {
	fields := []struct{ name, value string }{
		{"group", string(s.Group)},
		{"endpoint", string(s.Endpoint)},
		{"account", string(s.Account)},
		{"request", string(s.Request)},
		{"peer", string(s.Peer)},
	}
	var parts []string
	for _, f := range fields {
		if f.value != "" {
			parts = append(parts, f.name+"="+f.value)
		}
	}
	if s.Session != 0 {
		parts = append(parts, fmt.Sprintf("session=%d", s.Session))
	}
	return strings.Join(parts, " ")
}

func noteText(r event.Record) string {
	if r.Cause.Sequence == 0 {
		return r.Note
	}
	return strings.TrimSpace(fmt.Sprintf("%s (after %s/%d)", r.Note, r.Cause.Instance, r.Cause.Sequence))
}

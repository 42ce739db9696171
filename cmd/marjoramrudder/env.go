package main

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
	"github.com/marjoramrudder/marjoramrudder/pkg/strict"
)

const defaultHistory = 20

func envCommand() *cli.Command {
	return &cli.Command{
		Name:   "env",
		Usage:  "check, change and show environment documents",
		Action: noCommand,
		Commands: []*cli.Command{
			envCheckCommand(),
			envPutCommand(),
			envPromoteCommand(),
			envShowCommand(),
			envHistoryCommand(),
		},
	}
}

func envCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate a document without contacting the platform",
		ArgsUsage: "FILE",
		Flags:     []cli.Flag{outputFlag()},
		Action:    envCheck,
	}
}

// checkResult is the JSON output of env check.
type checkResult struct {
	File     string
	Good     bool
	Problems strict.FieldErrors
}

func envCheck(_ context.Context, c *cli.Command) error {
	path, err := argument(c, "FILE")
	if err != nil {
		return err
	}
	_, _, err = readDocument(path)
	result := checkResult{File: path, Good: err == nil}
	if err != nil && !errors.As(err, &result.Problems) {
		return err
	}
	if c.String("output") == jsonOutput || result.Good {
		if failed := show(c, result, func(w io.Writer) { linef(w, "%s: good", path) }); failed != nil {
			return failed
		}
	}
	return err
}

// readDocument reads and validates the document in a file.
func readDocument(path string) (*envdoc.Document, []byte, error) {
	text, err := strict.ReadFile(path, envdoc.MaxBytes)
	if err != nil {
		return nil, nil, usagef("%v", err)
	}
	d, err := envdoc.Parse(text)
	var problems strict.FieldErrors
	if errors.As(err, &problems) {
		return nil, nil, problems.WithFile(path)
	}
	return d, text, err
}

func envShowCommand() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "print the text of a version, the one in force by default",
		Flags: append(settingsFlags(), environmentFlag(),
			&cli.Uint64Flag{Name: "version", Usage: "`NUMBER` of the version"}),
		Action: withSession(envShow),
	}
}

// shownDocument is the JSON output of env show.
type shownDocument struct {
	Environment ident.Environment
	Version     ident.Version
	Text        string
}

func envShow(ctx context.Context, c *cli.Command, s *session) error {
	version := ident.Version(c.Uint64("version"))
	if version == 0 {
		head, err := s.platform.Documents.Head(ctx, s.environment)
		if err != nil {
			return err
		}
		version = head.Version
	}
	text, err := s.platform.Documents.Text(ctx, s.environment, version)
	if err != nil {
		return err
	}
	if c.String("output") == textOutput {
		_, err = c.Root().Writer.Write(text)
		return err
	}
	return show(c, shownDocument{s.environment, version, string(text)}, nil)
}

func envHistoryCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the accepted versions, newest first",
		Flags: append(settingsFlags(), environmentFlag(),
			&cli.IntFlag{Name: "limit", Usage: "`NUMBER` of versions", Value: defaultHistory}),
		Action: withSession(envHistory),
	}
}

func envHistory(ctx context.Context, c *cli.Command, s *session) error {
	limit := c.Int("limit")
	if limit < 1 {
		return usagef("--limit is %d, must be at least 1", limit)
	}
	heads, err := s.platform.Documents.History(ctx, s.environment, limit)
	if err != nil {
		return err
	}
	return show(c, heads, func(w io.Writer) { printHeads(w, heads) })
}

func printHeads(w io.Writer, heads []store.Head) {
	linef(w, "VERSION\tACCEPTED\tAUTHOR\tCHANGE\tDIGEST")
	for _, h := range heads {
		linef(w, "%d\t%s\t%s\t%s\t%.12s", h.Version, h.At.Format(time.RFC3339), h.Author, h.Change, h.Digest)
	}
}

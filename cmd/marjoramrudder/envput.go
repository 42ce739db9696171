package main

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/oper"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

func envPutCommand() *cli.Command {
	return &cli.Command{
		Name:      "put",
		Usage:     "accept a document as the next version of its environment",
		ArgsUsage: "FILE",
		Flags: append(changeFlags(),
			&cli.Uint64Flag{Name: "base", Usage: "`VERSION` that the document is based on; fails if another one is in force"}),
		Action: withSession(envPut),
	}
}

func envPut(ctx context.Context, c *cli.Command, s *session) error {
	path, err := argument(c, "FILE")
	if err != nil {
		return err
	}
	d, text, err := readDocument(path)
	if err != nil {
		return err
	}
	s.environment = d.Environment
	e := s.editor(c)
	current, err := e.Current(ctx, s.environment)
	if err != nil {
		return err
	}
	base := current.Head.Version
	if c.IsSet("base") {
		base = ident.Version(c.Uint64("base"))
	}
	head, err := e.Put(ctx, s.environment, base, text, time.Now())
	if err != nil {
		return err
	}
	return s.reportAccepted(ctx, c, changeResult{Head: head, Keys: oper.KeyChanges(current.Document, d)})
}

func envPromoteCommand() *cli.Command {
	return &cli.Command{
		Name:  "promote",
		Usage: "accept the document in force in one environment as the next version of another",
		Description: "Accounts that exist in the target keep the keys in force there, so that\n" +
			"a key withdrawn in the target is never restored.",
		Flags: append(changeFlags(),
			&cli.StringFlag{Name: "from", Usage: "`ENVIRONMENT` to promote", Required: true},
			&cli.StringFlag{Name: "to", Usage: "`ENVIRONMENT` that receives the document", Required: true},
			&cli.Uint64Flag{Name: "base", Usage: "`VERSION` of the target to replace; fails if another one is in force"}),
		Action: withSession(envPromote),
	}
}

func envPromote(ctx context.Context, c *cli.Command, s *session) error {
	from, to := ident.Environment(c.String("from")), ident.Environment(c.String("to"))
	if from == to {
		return usagef("--from and --to are both %s", from)
	}
	if !envdoc.ValidName(string(to)) {
		return usagef("--to is %q, not a valid name", to)
	}
	s.environment = to
	e := s.editor(c)
	source, err := e.Current(ctx, from)
	if err != nil {
		return err
	}
	if source.Document == nil {
		return errors.Wrapf(store.ErrNotFound, "document of %s", from)
	}
	target, err := e.Current(ctx, to)
	if err != nil {
		return err
	}
	base := target.Head.Version
	if c.IsSet("base") {
		base = ident.Version(c.Uint64("base"))
	}
	updated := oper.PromotedDocument(source.Document, target.Document, to)
	text, err := envdoc.Marshal(updated)
	if err != nil {
		return err
	}
	head, err := e.Put(ctx, to, base, text, time.Now())
	if err != nil {
		return err
	}
	return s.reportAccepted(ctx, c, changeResult{Head: head, Keys: oper.KeyChanges(target.Document, updated)})
}

// changeResult is the JSON output of the commands that change a document.
type changeResult struct {
	Environment ident.Environment
	Head        store.Head
	Keys        []oper.KeyChange
	// Key is a new key in plain text. It is shown only once.
	Key     string        `json:",omitempty"`
	Rollout *oper.Rollout `json:"Spread"`
}

// reportAccepted waits until a version is in force and prints the result. It
// prints the accepted version and a new key even if waiting fails.
func (s *session) reportAccepted(ctx context.Context, c *cli.Command, result changeResult) error {
	result.Environment = s.environment
	rollout, err := s.awaitInForce(ctx, c, result.Head.Version)
	result.Rollout = rollout
	if failed := show(c, result, func(w io.Writer) { printChange(w, result) }); failed != nil {
		return failed
	}
	return err
}

// awaitInForce waits up to --wait until a version is in force on all instances.
// It returns nil if --wait is zero.
func (s *session) awaitInForce(ctx context.Context, c *cli.Command, version ident.Version) (*oper.Rollout, error) {
	wait := c.Duration("wait")
	if wait <= 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	rollout, err := s.fleet.AwaitInForce(ctx, s.environment, version, func(p oper.Rollout) {
		notef(c, "%s version %d is in force on %d of %d instances", s.environment, p.Version, p.InForce, p.Instances)
	})
	return &rollout, err
}

func printChange(w io.Writer, r changeResult) {
	linef(w, "%s version %d accepted, change %s", r.Environment, r.Head.Version, r.Head.Change)
	for _, k := range r.Keys {
		verb := "withdrawn from"
		if k.Added {
			verb = "given to"
		}
		linef(w, "key %s %s %s", k.Hash, verb, k.Account)
	}
	if r.Key != "" {
		linef(w, "%s", r.Key)
	}
	if r.Rollout != nil {
		printRollout(w, *r.Rollout)
	}
}

func printRollout(w io.Writer, r oper.Rollout) {
	linef(w, "in force on %d of %d instances", r.InForce, r.Instances)
	for _, i := range r.Behind {
		linef(w, "behind: %s", i)
	}
	for _, i := range r.Unreachable {
		linef(w, "unreachable: %s", i)
	}
}

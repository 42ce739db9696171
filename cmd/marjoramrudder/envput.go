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
			&cli.Uint64Flag{Name: "base", Usage: "`VERSION` that the document was made from; another one in force is a conflict"}),
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
	return s.accepted(ctx, c, changed{Head: head, Keys: oper.KeyChanges(current.Document, d)})
}

func envPromoteCommand() *cli.Command {
	return &cli.Command{
		Name:  "promote",
		Usage: "accept the document in force in one environment as the next version of another",
		Description: "Accounts that the target has already keep the keys that are in force there,\n" +
			"so that a key that was withdrawn in the target never comes back.",
		Flags: append(changeFlags(),
			&cli.StringFlag{Name: "from", Usage: "`ENVIRONMENT` to promote", Required: true},
			&cli.StringFlag{Name: "to", Usage: "`ENVIRONMENT` that gets the document", Required: true},
			&cli.Uint64Flag{Name: "base", Usage: "`VERSION` that the target must be at; another one in force is a conflict"}),
		Action: withSession(envPromote),
	}
}

func envPromote(ctx context.Context, c *cli.Command, s *session) error {
	from, to := ident.Environment(c.String("from")), ident.Environment(c.String("to"))
	if from == to {
		return usagef("--from and --to are both %s", from)
	}
	if !envdoc.ValidName(string(to)) {
		return usagef("--to is %q, which is not a name", to)
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
	fresh := oper.PromotedDocument(source.Document, target.Document, to)
	text, err := envdoc.Marshal(fresh)
	if err != nil {
		return err
	}
	head, err := e.Put(ctx, to, base, text, time.Now())
	if err != nil {
		return err
	}
	return s.accepted(ctx, c, changed{Head: head, Keys: oper.KeyChanges(target.Document, fresh)})
}

// changed is the JSON output of the commands that change a document.
type changed struct {
	Environment ident.Environment
	Head        store.Head
	Keys        []oper.KeyChange
	// Key is a new key in clear, shown this once. Empty otherwise.
	Key    string `json:",omitempty"`
	Spread *oper.Rollout
}

// accepted waits until a version is in force and prints the result. Nothing
// that happens after the acceptance hides it, or the new key.
func (s *session) accepted(ctx context.Context, c *cli.Command, result changed) error {
	result.Environment = s.environment
	spread, err := s.awaitInForce(ctx, c, result.Head.Version)
	result.Spread = spread
	if failed := show(c, result, func(w io.Writer) { printChanged(w, result) }); failed != nil {
		return failed
	}
	return err
}

func (s *session) awaitInForce(ctx context.Context, c *cli.Command, version ident.Version) (*oper.Rollout, error) {
	wait := c.Duration("wait")
	if wait <= 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	spread, err := s.fleet.AwaitInForce(ctx, s.environment, version, func(p oper.Rollout) {
		note(c, "%s version %d is in force on %d of %d instances", s.environment, p.Version, p.InForce, p.Instances)
	})
	return &spread, err
}

func printChanged(w io.Writer, r changed) {
	line(w, "%s version %d accepted, change %s", r.Environment, r.Head.Version, r.Head.Change)
	for _, k := range r.Keys {
		verb := "withdrawn from"
		if k.Added {
			verb = "given to"
		}
		line(w, "key %s %s %s", k.Hash, verb, k.Account)
	}
	if r.Key != "" {
		line(w, "%s", r.Key)
	}
	if r.Spread != nil {
		printSpread(w, *r.Spread)
	}
}

func printSpread(w io.Writer, s oper.Rollout) {
	line(w, "in force on %d of %d instances", s.InForce, s.Instances)
	for _, i := range s.Behind {
		line(w, "behind: %s", i)
	}
	for _, i := range s.Unreachable {
		line(w, "unreachable: %s", i)
	}
}

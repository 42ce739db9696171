package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/marjoramrudder/marjoramrudder/internal/oper"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:   "key",
		Usage:  "give and withdraw keys of client accounts",
		Action: noCommand,
		Commands: []*cli.Command{
			keyGiveCommand(),
			keyWithdrawCommand(),
		},
	}
}

func keyGiveCommand() *cli.Command {
	return &cli.Command{
		Name:      "give",
		Usage:     "create a new key for an account and print it once",
		ArgsUsage: "ACCOUNT",
		Description: "The document stores only the hash of the key, so a lost key has to be replaced.\n" +
			"Comments in the document are not preserved.",
		Flags:  append(changeFlags(), environmentFlag()),
		Action: withSession(keyGive),
	}
}

func keyGive(ctx context.Context, c *cli.Command, s *session) error {
	name, err := argument(c, "ACCOUNT")
	if err != nil {
		return err
	}
	account, key := ident.Account(name), envdoc.NewKey()
	hash := envdoc.HashKey(key)
	head, err := s.editor(c).Edit(ctx, s.environment, time.Now(), func(d *envdoc.Document) (*envdoc.Document, error) {
		return d.AddKey(account, hash)
	})
	if err != nil {
		return err
	}
	return s.reportAccepted(ctx, c, changeResult{
		Head: head,
		Keys: []oper.KeyChange{{Account: account, Hash: hash, Added: true}},
		Key:  key,
	})
}

func keyWithdrawCommand() *cli.Command {
	return &cli.Command{
		Name:      "withdraw",
		Usage:     "withdraw a key of an account, or all of them",
		ArgsUsage: "ACCOUNT",
		Flags: append(changeFlags(), environmentFlag(),
			&cli.StringFlag{Name: "hash", Usage: "`HASH` of the key, as shown in the document"},
			&cli.BoolFlag{Name: "all", Usage: "withdraw every key of the account"}),
		Action: withSession(keyWithdraw),
	}
}

func keyWithdraw(ctx context.Context, c *cli.Command, s *session) error {
	name, err := argument(c, "ACCOUNT")
	if err != nil {
		return err
	}
	hash := envdoc.KeyHash(c.String("hash"))
	if (hash == "") == !c.Bool("all") {
		return usagef("exactly one of --hash HASH and --all is required")
	}
	if hash != "" && !hash.Valid() {
		return usagef("--hash is not a key hash as shown in the document")
	}
	account := ident.Account(name)
	var keys []oper.KeyChange
	head, err := s.editor(c).Edit(ctx, s.environment, time.Now(), func(d *envdoc.Document) (*envdoc.Document, error) {
		updated, err := revokeKeys(d, account, hash)
		keys = oper.KeyChanges(d, updated)
		return updated, err
	})
	if err != nil {
		return err
	}
	return s.reportAccepted(ctx, c, changeResult{Head: head, Keys: keys})
}

// revokeKeys revokes the key with the given hash, or every key if hash is
// empty.
func revokeKeys(d *envdoc.Document, account ident.Account, hash envdoc.KeyHash) (*envdoc.Document, error) {
	if hash != "" {
		return d.RevokeKey(account, hash)
	}
	return d.RevokeKeys(account)
}

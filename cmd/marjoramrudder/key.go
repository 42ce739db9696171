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
		Usage:  "give and withdraw the keys of client accounts",
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
		Usage:     "make a new key for an account and print it once",
		ArgsUsage: "ACCOUNT",
		Description: "The document holds only the hash of the key. Who loses the key needs a new one.\n" +
			"Comments in the text of the document are not kept.",
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
	return s.accepted(ctx, c, changed{
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
			&cli.StringFlag{Name: "hash", Usage: "`HASH` of the key, as the document shows it"},
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
		return usagef("either --hash HASH or --all is needed")
	}
	if hash != "" && !hash.Valid() {
		return usagef("--hash is not the hash of a key, such as the document shows it")
	}
	account := ident.Account(name)
	var keys []oper.KeyChange
	head, err := s.editor(c).Edit(ctx, s.environment, time.Now(), func(d *envdoc.Document) (*envdoc.Document, error) {
		fresh, err := withdraw(d, account, hash)
		keys = oper.KeyChanges(d, fresh)
		return fresh, err
	})
	if err != nil {
		return err
	}
	return s.accepted(ctx, c, changed{Head: head, Keys: keys})
}

// withdraw withdraws the key with hash, or every key when hash is empty.
func withdraw(d *envdoc.Document, account ident.Account, hash envdoc.KeyHash) (*envdoc.Document, error) {
	if hash != "" {
		return d.RevokeKey(account, hash)
	}
	return d.RevokeKeys(account)
}

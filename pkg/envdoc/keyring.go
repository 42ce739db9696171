package envdoc

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// The errors of AddKey, RevokeKey and RevokeKeys.
var (
	ErrNoAccount   = errors.New("no such account")
	ErrKeyExists   = errors.New("key is in force already")
	ErrNoKey       = errors.New("no such key")
	ErrTooManyKeys = errors.New("too many keys")
	ErrBadHash     = errors.New("not a key hash")
)

// AddKey returns a copy of the document with hash added to the keys of account.
// A key can belong to only one account.
func (d *Document) AddKey(account ident.Account, hash KeyHash) (*Document, error) {
	if !hash.Valid() {
		return nil, ErrBadHash
	}
	for _, a := range d.Accounts {
		if a.hasKey(hash) {
			return nil, errors.Wrapf(ErrKeyExists, "account %q", a.Name)
		}
	}
	return d.withAccount(account, func(a *Account) error {
		if len(a.Keys) >= MaxKeys {
			return errors.Wrapf(ErrTooManyKeys, "%d, at most %d allowed", len(a.Keys)+1, MaxKeys)
		}
		a.Keys = append(slices.Clone(a.Keys), hash)
		return nil
	})
}

// RevokeKey returns a copy of the document with hash removed from the keys of
// account.
func (d *Document) RevokeKey(account ident.Account, hash KeyHash) (*Document, error) {
	return d.withAccount(account, func(a *Account) error {
		if !a.hasKey(hash) {
			return ErrNoKey
		}
		a.Keys = slices.DeleteFunc(slices.Clone(a.Keys), hash.Equal)
		if len(a.Keys) == 0 {
			a.Keys = nil
		}
		return nil
	})
}

// RevokeKeys returns a copy of the document with all keys of account removed.
func (d *Document) RevokeKeys(account ident.Account) (*Document, error) {
	return d.withAccount(account, func(a *Account) error {
		if len(a.Keys) == 0 {
			return ErrNoKey
		}
		a.Keys = nil
		return nil
	})
}

// withAccount returns a copy of the document with one account changed.
func (d *Document) withAccount(name ident.Account, change func(a *Account) error) (*Document, error) {
	i := slices.IndexFunc(d.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return nil, errors.Wrapf(ErrNoAccount, "account %q", name)
	}
	changed := *d
	changed.Accounts = slices.Clone(d.Accounts)
	if err := change(&changed.Accounts[i]); err != nil {
		return nil, errors.Wrapf(err, "account %q", name)
	}
	return &changed, nil
}

func (a *Account) hasKey(hash KeyHash) bool { return slices.ContainsFunc(a.Keys, hash.Equal) }

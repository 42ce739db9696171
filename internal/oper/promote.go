package oper

import (
	"slices"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// PromotedDocument returns the document of one environment as it is to stand in
// another one. Accounts that the target has already keep the keys that are in
// force there: a key that was withdrawn in the target never comes back by a
// promotion. The target may be nil.
func PromotedDocument(from, target *envdoc.Document, to ident.Environment) *envdoc.Document {
	fresh := *from
	fresh.Environment = to
	fresh.Accounts = slices.Clone(from.Accounts)
	if target == nil {
		return &fresh
	}
	for i := range fresh.Accounts {
		a := &fresh.Accounts[i]
		j := slices.IndexFunc(target.Accounts, func(o envdoc.Account) bool { return o.Name == a.Name })
		if j >= 0 {
			a.Keys = target.Accounts[j].Keys
		}
	}
	return &fresh
}

// KeyChange is one key that a new document gives or withdraws.
type KeyChange struct {
	Account ident.Account
	Hash    envdoc.KeyHash
	Added   bool `json:"Given"`
}

// KeyChanges tells which keys differ between two documents, so that an
// operator sees a key that comes back by mistake. Either may be nil.
func KeyChanges(old, fresh *envdoc.Document) []KeyChange {
	before, after := keysOf(old), keysOf(fresh)
	var changes []KeyChange
	for _, k := range after {
		if !slices.Contains(before, k) {
			changes = append(changes, KeyChange{k.account, k.hash, true})
		}
	}
	for _, k := range before {
		if !slices.Contains(after, k) {
			changes = append(changes, KeyChange{k.account, k.hash, false})
		}
	}
	return changes
}

type accountKey struct {
	account ident.Account
	hash    envdoc.KeyHash
}

func keysOf(d *envdoc.Document) []accountKey {
	if d == nil {
		return nil
	}
	var keys []accountKey
	for _, a := range d.Accounts {
		for _, h := range a.Keys {
			keys = append(keys, accountKey{a.Name, h})
		}
	}
	return keys
}

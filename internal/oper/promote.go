package oper

import (
	"slices"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// PromotedDocument returns a copy of the document from for the environment to.
// Accounts that already exist in the target keep the target's keys, so that a
// promotion never restores a key that was revoked in the target. The target may
// be nil.
func PromotedDocument(from, target *envdoc.Document, to ident.Environment) *envdoc.Document {
	promoted := *from
	promoted.Environment = to
	promoted.Accounts = slices.Clone(from.Accounts)
	if target == nil {
		return &promoted
	}
	for i := range promoted.Accounts {
		a := &promoted.Accounts[i]
		j := slices.IndexFunc(target.Accounts, func(o envdoc.Account) bool { return o.Name == a.Name })
		if j >= 0 {
			a.Keys = target.Accounts[j].Keys
		}
	}
	return &promoted
}

// KeyChange is a key that a new document adds or revokes.
type KeyChange struct {
	Account ident.Account
	Hash    envdoc.KeyHash
	Added   bool `json:"Given"`
}

// KeyChanges returns the keys that differ between two documents, so that an
// operator notices a key that is restored by mistake. Either document may be
// nil.
func KeyChanges(old, updated *envdoc.Document) []KeyChange {
	before, after := keysOf(old), keysOf(updated)
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

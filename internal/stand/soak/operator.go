package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/marjoramrudder/marjoramrudder/internal/oper"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// editTimeout bounds one change, as the commands do.
	editTimeout = 15 * time.Second
	// calmEdits lies between the changes of a single operator.
	calmEdits  = 4 * time.Second
	maxWeight  = 9
	keysOfEach = 3
)

// office is the operators of a run: each changes the account of its own, by
// the same code as the commands.
type office struct {
	book      *book
	watcher   *watcher
	platform  *store.Platform
	fleet     *oper.Fleet
	operators []*operator

	mu       sync.Mutex
	returned []store.Head
	edits    int
	unknown  int
	refused  int
}

// operator changes one account, one change at a time.
type operator struct {
	mu      sync.Mutex
	author  string
	account layout.Account
	step    int
	keys    []envdoc.KeyHash
}

func newOffice(s *set, b *book, w *watcher, accounts []layout.Account) (*office, error) {
	platform, err := store.Open(s.layout.Settings(s.layout.Proxies[0]).Platform)
	if err != nil {
		return nil, errors.Wrap(err, "open store")
	}
	o := &office{book: b, watcher: w, platform: platform, fleet: &oper.Fleet{Members: platform.Members, Client: s.admin}}
	for _, a := range accounts {
		o.operators = append(o.operators, &operator{author: authorOf(a.Name), account: a})
	}
	return o, nil
}

// Close gives back the connections.
func (o *office) Close() { _ = o.platform.Close() }

func authorOf(account ident.Account) string { return "operator-of-" + string(account) }

type change func(d *envdoc.Document) (*envdoc.Document, error)

// edit makes one change and keeps what the command returned.
func (o *office) edit(ctx context.Context, author string, f change) (store.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	e := &oper.Editor{Documents: o.platform.Documents, Author: author, Announce: o.fleet.Announce}
	head, err := e.Edit(ctx, layout.Environment, time.Now(), f)
	o.note(head, err)
	return head, err
}

func (o *office) note(head store.Head, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var unknown *oper.UnknownError
	switch {
	case err == nil:
		o.edits++
		o.returned = append(o.returned, head)
		o.watcher.accept(head.Version)
	case errors.As(err, &unknown):
		o.unknown++
	default:
		o.refused++
	}
}

// race lets several operators change the document at once.
func (o *office) race(ctx context.Context, count int) {
	var all errgroup.Group
	for _, p := range o.operators[:min(count, len(o.operators))] {
		all.Go(func() error {
			o.work(ctx, p)
			return nil
		})
	}
	_ = all.Wait()
}

// calm lets one operator after the other make a change now and then.
func (o *office) calm(ctx context.Context) error {
	n := 0
	for range ticks(ctx, calmEdits) {
		o.work(ctx, o.operators[n%len(o.operators)])
		n++
	}
	return nil
}

// work makes the next change of an operator.
func (o *office) work(ctx context.Context, p *operator) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = o.edit(ctx, p.author, p.next())
}

// next returns the operator's next change: limits, a key given, a key
// withdrawn in turn.
func (p *operator) next() change {
	p.step++
	step := p.step
	switch {
	case step%3 == 1:
		hash := envdoc.HashKey(envdoc.NewKey())
		p.keys = append(p.keys, hash)
		return func(d *envdoc.Document) (*envdoc.Document, error) { return d.AddKey(p.account.Name, hash) }
	case step%3 == 2 && len(p.keys) > keysOfEach:
		hash := p.keys[0]
		p.keys = p.keys[1:]
		return func(d *envdoc.Document) (*envdoc.Document, error) { return d.RevokeKey(p.account.Name, hash) }
	}
	return func(d *envdoc.Document) (*envdoc.Document, error) {
		return withAccount(d, p.account.Name, func(a *envdoc.Account) {
			a.Weight = 1 + step%maxWeight
			a.Rate = p.account.Rate + ident.Tokens(step)%p.account.Rate
		})
	}
}

// withAccount returns a copy of the document with one account changed.
func withAccount(d *envdoc.Document, name ident.Account, f func(a *envdoc.Account)) (*envdoc.Document, error) {
	fresh := *d
	fresh.Accounts = append([]envdoc.Account(nil), d.Accounts...)
	for i := range fresh.Accounts {
		if fresh.Accounts[i].Name == name {
			f(&fresh.Accounts[i])
			return &fresh, nil
		}
	}
	return nil, errors.Wrapf(envdoc.ErrNoAccount, "account %q", name)
}

// check reads the whole history and checks it.
func (o *office) check(ctx context.Context) error {
	heads, err := o.platform.Documents.History(ctx, layout.Environment, maxHistory)
	if err != nil {
		return errors.Wrap(err, "read history")
	}
	documents := map[ident.Version]*envdoc.Document{}
	for _, h := range heads {
		text, err := o.platform.Documents.Text(ctx, layout.Environment, h.Version)
		if err != nil {
			return errors.Wrap(err, "read document")
		}
		if documents[h.Version], err = envdoc.Parse(text); err != nil {
			return errors.Wrapf(err, "parse version %d", h.Version)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, text := range checkHistory(heads, o.returned, documents) {
		o.book.violate(time.Now(), OneWinner, text)
	}
	return nil
}

const maxHistory = 10000

// checkHistory returns what is wrong with a history, newest first: each
// version stands once, each change that a command returned stands as the
// version it returned, and each version changed nothing but the account of its
// author.
func checkHistory(heads, returned []store.Head, documents map[ident.Version]*envdoc.Document) []string {
	var wrong []string
	byVersion := map[ident.Version]store.Head{}
	for i, h := range heads {
		if want := ident.Version(len(heads) - i); h.Version != want {
			wrong = append(wrong, fmt.Sprintf("version %d stands in the place of version %d", h.Version, want))
		}
		byVersion[h.Version] = h
	}
	for _, r := range returned {
		if h := byVersion[r.Version]; h.Change != r.Change {
			wrong = append(wrong, fmt.Sprintf("version %d was returned for change %s and is change %s", r.Version, r.Change, h.Change))
		}
	}
	for _, h := range heads {
		old, fresh := documents[h.Version-1], documents[h.Version]
		if old == nil || fresh == nil {
			continue
		}
		for _, name := range changedAccounts(old, fresh) {
			if authorOf(name) != h.Author {
				wrong = append(wrong, fmt.Sprintf("version %d by %s changed account %s", h.Version, h.Author, name))
			}
		}
	}
	return wrong
}

func changedAccounts(old, fresh *envdoc.Document) []ident.Account {
	var names []ident.Account
	before := map[ident.Account]string{}
	for _, a := range old.Accounts {
		before[a.Name] = fmt.Sprint(a)
	}
	for _, a := range fresh.Accounts {
		if before[a.Name] != fmt.Sprint(a) {
			names = append(names, a.Name)
		}
		delete(before, a.Name)
	}
	for name := range before {
		names = append(names, name)
	}
	return names
}

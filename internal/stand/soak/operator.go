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
	// editTimeout bounds one change, as the timeout of the operators' commands
	// does.
	editTimeout = 15 * time.Second
	// editInterval is the time between the changes of a single operator.
	editInterval = 4 * time.Second
	maxWeight    = 9
	keptKeys     = 3
)

// operatorPool runs the operators of a run. Each of them changes its own
// account, through the same code as the commands.
type operatorPool struct {
	recorder  *recorder
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

func newOperatorPool(d *deployment, rc *recorder, w *watcher, accounts []layout.Account) (*operatorPool, error) {
	platform, err := store.Open(d.layout.Settings(d.layout.Proxies[0]).Platform)
	if err != nil {
		return nil, errors.Wrap(err, "open store")
	}
	o := &operatorPool{recorder: rc, watcher: w, platform: platform, fleet: &oper.Fleet{Members: platform.Members, Client: d.admin}}
	for _, a := range accounts {
		o.operators = append(o.operators, &operator{author: authorOf(a.Name), account: a})
	}
	return o, nil
}

// Close closes the connections.
func (o *operatorPool) Close() { _ = o.platform.Close() }

func authorOf(account ident.Account) string { return "operator-of-" + string(account) }

type change func(d *envdoc.Document) (*envdoc.Document, error)

// edit makes one change and records the result that the command returned.
func (o *operatorPool) edit(ctx context.Context, author string, f change) (store.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	e := &oper.Editor{Documents: o.platform.Documents, Author: author, Announce: o.fleet.Announce}
	head, err := e.Edit(ctx, layout.Environment, time.Now(), f)
	o.record(head, err)
	return head, err
}

func (o *operatorPool) record(head store.Head, err error) {
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

// race lets several operators change the document at the same time.
func (o *operatorPool) race(ctx context.Context, count int) {
	var all errgroup.Group
	for _, p := range o.operators[:min(count, len(o.operators))] {
		all.Go(func() error {
			o.makeNextEdit(ctx, p)
			return nil
		})
	}
	_ = all.Wait()
}

// editPeriodically lets the operators make changes in turn, one every
// editInterval.
func (o *operatorPool) editPeriodically(ctx context.Context) error {
	n := 0
	for range ticks(ctx, editInterval) {
		o.makeNextEdit(ctx, o.operators[n%len(o.operators)])
		n++
	}
	return nil
}

// makeNextEdit makes the next change of an operator.
func (o *operatorPool) makeNextEdit(ctx context.Context, p *operator) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = o.edit(ctx, p.author, p.next())
}

// next returns the operator's next change: in turn, new limits, a new key and a
// revoked key.
func (p *operator) next() change {
	p.step++
	step := p.step
	switch {
	case step%3 == 1:
		hash := envdoc.HashKey(envdoc.NewKey())
		p.keys = append(p.keys, hash)
		return func(d *envdoc.Document) (*envdoc.Document, error) { return d.AddKey(p.account.Name, hash) }
	case step%3 == 2 && len(p.keys) > keptKeys:
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
	changed := *d
	changed.Accounts = append([]envdoc.Account(nil), d.Accounts...)
	for i := range changed.Accounts {
		if changed.Accounts[i].Name == name {
			f(&changed.Accounts[i])
			return &changed, nil
		}
	}
	return nil, errors.Wrapf(envdoc.ErrNoAccount, "account %q", name)
}

// check reads the whole history of documents and checks it.
func (o *operatorPool) check(ctx context.Context) error {
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
		o.recorder.violate(time.Now(), OneWinner, text)
	}
	return nil
}

const maxHistory = 10000

// checkHistory returns the violations in a history, which starts with the
// newest version. Each version must occur once, each change that a command
// returned must be stored as the version that was returned, and each version
// may change only the account of its author.
func checkHistory(heads, returned []store.Head, documents map[ident.Version]*envdoc.Document) []string {
	var wrong []string
	byVersion := map[ident.Version]store.Head{}
	for i, h := range heads {
		if want := ident.Version(len(heads) - i); h.Version != want {
			wrong = append(wrong, fmt.Sprintf("found version %d at the position of version %d", h.Version, want))
		}
		byVersion[h.Version] = h
	}
	for _, r := range returned {
		if h := byVersion[r.Version]; h.Change != r.Change {
			wrong = append(wrong, fmt.Sprintf("version %d was returned for change %s but holds change %s", r.Version, r.Change, h.Change))
		}
	}
	for _, h := range heads {
		old, changed := documents[h.Version-1], documents[h.Version]
		if old == nil || changed == nil {
			continue
		}
		for _, name := range changedAccounts(old, changed) {
			if authorOf(name) != h.Author {
				wrong = append(wrong, fmt.Sprintf("version %d by %s changed account %s", h.Version, h.Author, name))
			}
		}
	}
	return wrong
}

func changedAccounts(old, changed *envdoc.Document) []ident.Account {
	var names []ident.Account
	before := map[ident.Account]string{}
	for _, a := range old.Accounts {
		before[a.Name] = fmt.Sprint(a)
	}
	for _, a := range changed.Accounts {
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

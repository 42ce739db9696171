// Package tasks runs goroutines that belong to an owner. The owner's Close
// cancels them and waits for all of them.
package tasks

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Group is a set of goroutines with a context that stops them.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group
}

// New returns a group whose context ends with parent or with Close.
func New(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context returns the context that Close cancels.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in a goroutine of the group. Wait and Close return the first error.
// An error does not stop the other goroutines.
func (g *Group) Go(f func(ctx context.Context) error) {
	g.group.Go(func() error { return f(g.ctx) })
}

// Wait blocks until every goroutine has returned.
func (g *Group) Wait() error { return g.group.Wait() }

// Close cancels the group's context and waits for every goroutine.
func (g *Group) Close() error {
	g.cancel()
	return g.group.Wait()
}

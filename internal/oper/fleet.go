package oper

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/marjoramrudder/marjoramrudder/internal/admin"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// parallelAsks bounds the instances that are asked at once.
	parallelAsks = 64
	pollInterval = 200 * time.Millisecond
)

// ErrNotInForce reports a version that some instance did not put in force in
// time. It is accepted all the same, and every instance will follow.
var ErrNotInForce = errors.New("accepted, but not in force everywhere in time")

// Fleet asks the instances of an environment.
type Fleet struct {
	Members store.Members
	Client  *admin.Client
	// Addresses are the administration addresses to ask. When empty, the
	// table service tells them, which it cannot do during an outage.
	Addresses []string
}

// members returns whom to ask, in the order of their names.
func (f *Fleet) members(ctx context.Context, env ident.Environment) ([]store.Member, error) {
	if len(f.Addresses) == 0 {
		members, err := f.Members.All(ctx, env)
		slices.SortFunc(members, func(a, b store.Member) int { return cmp.Compare(a.Instance, b.Instance) })
		return members, err
	}
	members := make([]store.Member, len(f.Addresses))
	for i, a := range f.Addresses {
		members[i] = store.Member{Instance: ident.Instance(a), Admin: a}
	}
	return members, nil
}

// InstanceAnswer is what one instance said.
type InstanceAnswer[T any] struct {
	Member store.Member
	Value  T
	Err    error
}

// ask asks every member of the environment, several at once.
func ask[T any](ctx context.Context, f *Fleet, env ident.Environment, question func(ctx context.Context, address string) (T, error)) ([]InstanceAnswer[T], error) {
	members, err := f.members(ctx, env)
	if err != nil {
		return nil, err
	}
	answers := make([]InstanceAnswer[T], len(members))
	var g errgroup.Group
	g.SetLimit(parallelAsks)
	for i, m := range members {
		g.Go(func() error {
			value, err := question(ctx, m.Admin)
			answers[i] = InstanceAnswer[T]{m, value, err}
			return nil
		})
	}
	return answers, g.Wait()
}

// Status asks every instance for its report.
func (f *Fleet) Status(ctx context.Context, env ident.Environment) ([]InstanceAnswer[admin.Report], error) {
	return ask(ctx, f, env, f.Client.Status)
}

// Events asks every instance for its records after since.
func (f *Fleet) Events(ctx context.Context, env ident.Environment, since uint64) ([]InstanceAnswer[admin.Events], error) {
	return ask(ctx, f, env, func(ctx context.Context, address string) (admin.Events, error) {
		return f.Client.Events(ctx, address, since)
	})
}

// Rollout tells on how many instances a version is in force.
type Rollout struct {
	Version   ident.Version
	InForce   int
	Instances int
	// Behind names the instances that have an older version in force.
	Behind []ident.Instance
	// Unreachable names the instances that did not answer.
	Unreachable []ident.Instance
}

// Complete reports whether every instance has the version in force.
func (s Rollout) Complete() bool { return s.InForce == s.Instances }

// Rollout asks every instance once.
func (f *Fleet) Rollout(ctx context.Context, env ident.Environment, version ident.Version) (Rollout, error) {
	answers, err := ask(ctx, f, env, f.Client.Version)
	if err != nil {
		return Rollout{}, err
	}
	s := Rollout{Version: version, Instances: len(answers)}
	for _, a := range answers {
		switch {
		case a.Err != nil:
			s.Unreachable = append(s.Unreachable, a.Member.Instance)
		case a.Value.Version < version:
			s.Behind = append(s.Behind, a.Member.Instance)
		default:
			s.InForce++
		}
	}
	return s, nil
}

// AwaitInForce asks until the version is in force on every instance or ctx
// ends, and calls progress whenever the count changes. It returns the last
// count, with ErrNotInForce when it is not whole.
func (f *Fleet) AwaitInForce(ctx context.Context, env ident.Environment, version ident.Version, progress func(Rollout)) (Rollout, error) {
	last := Rollout{Version: version}
	asked := false
	for {
		s, err := f.Rollout(ctx, env, version)
		if ctx.Err() != nil {
			return last, errors.CombineErrors(ErrNotInForce, err) // cut answers say nothing
		}
		if err == nil {
			if !asked || s.InForce != last.InForce || s.Instances != last.Instances {
				progress(s)
			}
			last, asked = s, true
		}
		if asked && last.Complete() {
			return last, nil
		}
		if !tasks.Pause(ctx, pollInterval) {
			return last, errors.CombineErrors(ErrNotInForce, err)
		}
	}
}

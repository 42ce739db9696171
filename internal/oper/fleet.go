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
	// maxParallelRequests limits the instances that are queried concurrently.
	maxParallelRequests = 64
	pollInterval        = 200 * time.Millisecond
)

// ErrNotInForce reports a version that was accepted but that some instance has
// not applied in time. All instances will apply it eventually.
var ErrNotInForce = errors.New("accepted, but not in force everywhere in time")

// Fleet queries the instances of an environment.
type Fleet struct {
	Members store.Members
	Client  *admin.Client
	// Addresses are the administration addresses to query. If empty, the
	// addresses come from the table service, which requires that it is
	// available.
	Addresses []string
}

// members returns the instances to query, sorted by name.
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

// InstanceAnswer is the answer of one instance.
type InstanceAnswer[T any] struct {
	Member store.Member
	Value  T
	Err    error
}

// queryAll queries all members of the environment concurrently.
func queryAll[T any](ctx context.Context, f *Fleet, env ident.Environment, query func(ctx context.Context, address string) (T, error)) ([]InstanceAnswer[T], error) {
	members, err := f.members(ctx, env)
	if err != nil {
		return nil, err
	}
	answers := make([]InstanceAnswer[T], len(members))
	var g errgroup.Group
	g.SetLimit(maxParallelRequests)
	for i, m := range members {
		g.Go(func() error {
			value, err := query(ctx, m.Admin)
			answers[i] = InstanceAnswer[T]{m, value, err}
			return nil
		})
	}
	return answers, g.Wait()
}

// Status returns the reports of all instances.
func (f *Fleet) Status(ctx context.Context, env ident.Environment) ([]InstanceAnswer[admin.Report], error) {
	return queryAll(ctx, f, env, f.Client.Status)
}

// Events returns the event records after since of all instances.
func (f *Fleet) Events(ctx context.Context, env ident.Environment, since uint64) ([]InstanceAnswer[admin.Events], error) {
	return queryAll(ctx, f, env, func(ctx context.Context, address string) (admin.Events, error) {
		return f.Client.Events(ctx, address, since)
	})
}

// Rollout reports on how many instances a version is in force.
type Rollout struct {
	Version   ident.Version
	InForce   int
	Instances int
	// Behind lists the instances that still have an older version in force.
	Behind []ident.Instance
	// Unreachable lists the instances that did not answer.
	Unreachable []ident.Instance
}

// Complete reports whether every instance has the version in force.
func (r Rollout) Complete() bool { return r.InForce == r.Instances }

// Rollout queries every instance once.
func (f *Fleet) Rollout(ctx context.Context, env ident.Environment, version ident.Version) (Rollout, error) {
	answers, err := queryAll(ctx, f, env, f.Client.Version)
	if err != nil {
		return Rollout{}, err
	}
	r := Rollout{Version: version, Instances: len(answers)}
	for _, a := range answers {
		switch {
		case a.Err != nil:
			r.Unreachable = append(r.Unreachable, a.Member.Instance)
		case a.Value.Version < version:
			r.Behind = append(r.Behind, a.Member.Instance)
		default:
			r.InForce++
		}
	}
	return r, nil
}

// AwaitInForce polls until the version is in force on every instance or ctx
// ends, and calls progress whenever a count changes. It returns the last
// Rollout, with ErrNotInForce if it is not complete.
func (f *Fleet) AwaitInForce(ctx context.Context, env ident.Environment, version ident.Version, progress func(Rollout)) (Rollout, error) {
	last := Rollout{Version: version}
	polled := false
	for {
		r, err := f.Rollout(ctx, env, version)
		if ctx.Err() != nil {
			return last, errors.CombineErrors(ErrNotInForce, err) // interrupted queries do not count
		}
		if err == nil {
			if !polled || r.InForce != last.InForce || r.Instances != last.Instances {
				progress(r)
			}
			last, polled = r, true
		}
		if polled && last.Complete() {
			return last, nil
		}
		if !tasks.Pause(ctx, pollInterval) {
			return last, errors.CombineErrors(ErrNotInForce, err)
		}
	}
}

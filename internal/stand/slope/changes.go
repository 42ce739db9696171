package slope

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/exper"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	pollInterval = 2 * time.Millisecond
	waitTimeout  = 30 * time.Second
)

var errWaitTimeout = errors.New("condition not met in time")

// change stores the next version of the document and returns the time until it
// is in force on every instance.
func change(ctx context.Context, d *exper.Deployment, version ident.Version) (time.Duration, error) {
	text, err := envdoc.Marshal(d.Layout.Document())
	if err != nil {
		return 0, errors.Wrap(err, "marshal document")
	}
	s, err := store.Open(d.Platform.Platform())
	if err != nil {
		return 0, errors.Wrap(err, "open store")
	}
	defer func() { _ = s.Close() }()
	head := store.Head{Change: ident.Change(fmt.Sprint("change-", version)), Author: "slope", At: time.Now()}
	if _, err := s.Documents.Accept(ctx, layout.Environment, version-1, head, text); err != nil {
		return 0, errors.Wrap(err, "accept document")
	}
	return waitUntil(ctx, func() bool { return allInForce(d, version) })
}

func allInForce(d *exper.Deployment, version ident.Version) bool {
	for _, p := range d.Proxies {
		if p.Version().Version < version {
			return false
		}
	}
	return true
}

// failOver stops the primaries of the first groups at the same time and returns
// the time until every instance knows the new ones.
func failOver(ctx context.Context, d *exper.Deployment, groups int) (time.Duration, error) {
	lost := make([]ident.Endpoint, groups)
	var ends errgroup.Group
	for i, g := range d.Layout.Groups[:groups] {
		for n, s := range d.Endpoints[g.Name] {
			if s.Status().Role == group.PrimaryRole {
				lost[i] = g.Endpoints[n].Name
				ends.Go(s.Close)
			}
		}
	}
	took, err := waitUntil(ctx, func() bool { return allKnowPrimaries(d, lost) })
	return took, errors.CombineErrors(err, ends.Wait())
}

func allKnowPrimaries(d *exper.Deployment, lost []ident.Endpoint) bool {
	for _, p := range d.Proxies {
		for _, g := range p.Report(time.Now()).Groups {
			if g.Primary == "" || slices.Contains(lost, g.Primary) {
				return false
			}
		}
	}
	return true
}

// waitUntil polls until done returns true, and returns the time that took.
func waitUntil(ctx context.Context, done func() bool) (time.Duration, error) {
	began := time.Now()
	for !done() {
		if time.Since(began) > waitTimeout {
			return 0, errors.Wrapf(errWaitTimeout, "after %v", waitTimeout)
		}
		if err := pause(ctx, pollInterval); err != nil {
			return 0, err
		}
	}
	return time.Since(began), nil
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

package store_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	leaseClients   = 4
	swapsPerClient = 20
	checkTimeout   = 10 * time.Second
)

// leaseInput is the input of a swap, or of a read if updated is zero.
type leaseInput struct{ old, updated store.Lease }

type leaseOutput struct {
	read store.Lease
	err  error
}

// leaseModel models one lease record. A swap whose outcome is unknown may or
// may not have taken effect. A swap that failed with a conflict may have taken
// effect before another author replaced the record.
var leaseModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{store.Lease{}} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(store.Lease), input.(leaseInput), output.(leaseOutput)
		if in.updated == (store.Lease{}) {
			return stateIf(current == out.read, current)
		}
		matches := current == in.old
		switch {
		case out.err == nil:
			return stateIf(matches, in.updated)
		case errors.Is(out.err, store.ErrConflict) && matches:
			return []any{in.updated}
		case matches:
			return []any{current, in.updated}
		}
		return []any{current}
	},
	Equal: func(a, b any) bool { return a.(store.Lease) == b.(store.Lease) },
}

func stateIf(ok bool, state store.Lease) []any {
	if !ok {
		return nil
	}
	return []any{state}
}

// history records the operations of several clients.
type history struct {
	start time.Time
	mu    sync.Mutex
	all   []porcupine.Operation
}

func (h *history) record(client int, in leaseInput, run func() leaseOutput) leaseOutput {
	called := time.Since(h.start)
	out := run()
	returned := int64(time.Since(h.start))
	if errors.Is(out.err, store.ErrUnavailable) {
		returned = math.MaxInt64 // may take effect at any later time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, porcupine.Operation{ClientId: client, Input: in, Call: int64(called), Output: out, Return: returned})
	return out
}

// runClient repeatedly reads the lease and tries to replace it.
func (h *history) runClient(ctx context.Context, p *store.Platform, client int) error {
	key := store.LeaseKey{Account: "shop"}
	for n := range swapsPerClient {
		last := h.record(client, leaseInput{}, func() leaseOutput { return readLease(ctx, p) })
		if last.err != nil {
			return fmt.Errorf("read lease: %w", last.err)
		}
		updated := store.Lease{
			Key:     key,
			Holder:  ident.Instance(fmt.Sprint("p", client)),
			Epoch:   last.read.Epoch + 1,
			Renewal: uint64(n),
		}
		h.record(client, leaseInput{last.read, updated}, func() leaseOutput {
			return leaseOutput{err: p.Leases.Swap(ctx, trial, last.read, updated)}
		})
	}
	return nil
}

func readLease(ctx context.Context, p *store.Platform) leaseOutput {
	all, err := p.Leases.All(ctx, trial)
	if err != nil || len(all) == 0 {
		return leaseOutput{err: err}
	}
	return leaseOutput{read: all[0]}
}

// TestLeasesAreLinearizable checks that the swaps of several holders are
// linearizable while answers are lost after the write took effect.
func TestLeasesAreLinearizable(t *testing.T) {
	g := NewWithT(t)
	s, p := open(t, store.WithAttempts(2))
	s.SetFaults(plat.Faults{LoseProbability: 0.3})
	h := &history{start: time.Now()}
	var clients errgroup.Group
	for c := range leaseClients {
		clients.Go(func() error { return h.runClient(t.Context(), p, c) })
	}
	g.Expect(clients.Wait()).To(Succeed())
	model := leaseModel.ToModel()
	g.Expect(porcupine.CheckOperationsTimeout(model, h.all, checkTimeout)).To(Equal(porcupine.Ok))
	g.Expect(s.Counters().Lost).To(BeNumerically(">", 0))
}

package acct

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// fakeTable is an in-memory store.Leases.
type fakeTable struct {
	mu   sync.Mutex
	rows map[store.LeaseKey]store.Lease
	down bool
}

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[store.LeaseKey]store.Lease)} }

func (t *fakeTable) All(context.Context, ident.Environment) ([]store.Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, store.ErrUnavailable
	}
	var all []store.Lease
	for _, r := range t.rows {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b store.Lease) int {
		return cmp.Or(cmp.Compare(a.Key.Account, b.Key.Account), cmp.Compare(a.Key.Part, b.Key.Part))
	})
	return all, nil
}

func (t *fakeTable) Swap(_ context.Context, _ ident.Environment, old, updated store.Lease) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return store.ErrUnavailable
	}
	if !t.matches(old) {
		return store.ErrConflict
	}
	t.rows[updated.Key] = updated
	return nil
}

func (t *fakeTable) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

func (t *fakeTable) matches(old store.Lease) bool {
	row, ok := t.rows[old.Key]
	if old.Epoch == 0 {
		return !ok
	}
	return ok && row == old
}

const (
	testKey   = "mk_test"
	testRoute = ident.Route("orders")
	openRoute = ident.Route("prices")
	buyers    = ident.Account("buyers")
)

func testDocument(rate, burst ident.Tokens) *envdoc.Document {
	return &envdoc.Document{
		Routes: []envdoc.Route{
			{Name: testRoute, Access: envdoc.Keyed},
			{Name: openRoute, Access: envdoc.Open},
			{Name: "slots", Access: envdoc.Keyed, Accounts: []ident.Account{"drivers"}},
		},
		Accounts: []envdoc.Account{
			{Name: buyers, Keys: []envdoc.KeyHash{envdoc.HashKey(testKey)}, Rate: rate, Burst: burst, Weight: 3},
			{Name: "drivers", Keys: []envdoc.KeyHash{envdoc.HashKey("mk_other")}, Rate: 5, Burst: 2, Weight: 1},
		},
	}
}

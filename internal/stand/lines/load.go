// Package lines is the load and experiment tool for instances on the users'
// platform. It runs the emulated platform of internal/stand/emul on real
// addresses, injects faults at given times, and drives callers that check the
// proxy's consistency guarantees.
package lines

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/audit"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

// LoadConfig configures a load.
type LoadConfig struct {
	Dial   emul.Dial
	Fronts []string // addresses of the instances
	// Routes are routes whose reads see the session's own writes. Each caller
	// uses one of them.
	Routes []Route
	// Mixed are the routes of the workers.
	Mixed []Route
	Keys  []string // one for each account
	// Workers is the number of workers of each account.
	Workers int
	// Journal receives the statements of all callers.
	Journal *audit.Journal
	// Sessions is the number of callers for each key, Pause their mean pause
	// between statements.
	Sessions int
	Pause    time.Duration
	// Writes is the fraction of the steps that write, Transactions the fraction
	// of those that do so in a transaction of several statements.
	Writes       float64
	Transactions float64
	// Timeout limits one statement. A caller that gives up sooner than a stopping
	// instance closes its connection hides a cut.
	Timeout time.Duration
	// Held is the number of connections of each kind of heldStarts that are kept
	// open to each instance.
	Held     int
	Duration time.Duration
	Seed     uint64
}

// account returns the account with an index, from 0.
func (c *LoadConfig) account(i int) Account {
	return Account{Name: accountName(i), Key: c.Keys[i]}
}

// load collects the results of all callers.
type load struct {
	config LoadConfig
	mu     sync.Mutex
	report Report
}

// Load runs callers for the configured duration and returns their report.
func Load(ctx context.Context, c LoadConfig) (*Report, error) {
	if c.Journal == nil {
		c.Journal = audit.NewJournal()
	}
	l := &load{config: c, report: Report{NotRun: map[string]int{}, Latency: newLatency()}}
	loadCtx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	group := tasks.New(ctx)
	for i := range c.Keys {
		for j := range c.Sessions {
			group.Go(func(ctx context.Context) error {
				l.newCaller(i, j).run(loadCtx, ctx)
				return nil
			})
		}
		for j := range c.Workers {
			group.Go(func(context.Context) error {
				l.newWorker(i, j).run(loadCtx)
				return nil
			})
		}
	}
	held := tasks.New(loadCtx)
	l.holdAll(held)
	held.Go(l.recordStalls)
	err := group.Wait()
	return &l.report, errors.CombineErrors(err, held.Close())
}

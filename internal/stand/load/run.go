package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

const (
	queueDepth = 10000
	retryPause = 50 * time.Millisecond
)

// run is one running load.
type run struct {
	config  Config
	start   time.Time
	tally   *tally
	ledgers []*ledger
	gaps    []*gaps
	meters  []*meter
	queues  [][]chan arrival // by account and target
}

// Run drives the proxies for the configured time, waits for the last answers,
// checks the promises and reports. The stock must have been filled by Fill.
func Run(ctx context.Context, config Config) (*Report, error) {
	c, err := config.checked()
	if err != nil {
		return nil, err
	}
	r := newRun(c, time.Now())
	group := tasks.New(ctx)
	for i := range c.Accounts {
		r.startCallers(group, i)
		group.Go(func(ctx context.Context) error { return r.offer(ctx, i) })
	}
	if err := errors.CombineErrors(group.Wait(), group.Close()); err != nil {
		return nil, errors.Wrap(err, "run load")
	}
	report := r.tally.report(&c)
	for i, t := range c.Targets {
		report.Gaps = append(report.Gaps, r.gaps[i].report(t.Group, r.start, c.Duration))
	}
	r.verify(ctx, report)
	return report, nil
}

func newRun(c Config, now time.Time) *run {
	r := &run{config: c, start: now, tally: newTally(&c)}
	for range c.Targets {
		r.ledgers = append(r.ledgers, newLedger())
		r.gaps = append(r.gaps, &gaps{})
	}
	for i := range c.Accounts {
		r.meters = append(r.meters, newMeter(&c.Accounts[i], now))
		var queues []chan arrival
		for range c.Targets {
			queues = append(queues, make(chan arrival, queueDepth))
		}
		r.queues = append(r.queues, queues)
	}
	return r
}

func (r *run) startCallers(group *tasks.Group, account int) {
	for t, q := range r.queues[account] {
		for n := range r.config.Sessions {
			c := newCaller(&r.config, account, t, n)
			group.Go(func(ctx context.Context) error { return r.serve(ctx, c, account, t, q) })
		}
	}
}

// offer puts each arrival of an account into its queue when it is due.
func (r *run) offer(ctx context.Context, account int) error {
	queues := r.queues[account]
	defer func() {
		for _, q := range queues {
			close(q)
		}
	}()
	p := newPlan(&r.config, account)
	for a := p.next(); a.at < r.config.Duration; a = p.next() {
		if !tasks.PauseUntil(ctx, r.start.Add(a.at)) {
			return nil
		}
		select {
		case queues[a.target] <- a:
		default:
			r.tally.unsent(account, a)
		}
	}
	return nil
}

func (r *run) serve(ctx context.Context, c *caller, account, target int, queue <-chan arrival) error {
	defer c.close()
	for a := range queue {
		if ctx.Err() != nil || time.Since(r.start.Add(a.at)) > r.config.Timeout {
			r.tally.unsent(account, a)
			continue
		}
		r.request(ctx, c, account, target, a)
	}
	return nil
}

// request runs one request to its end and books how it ended.
func (r *run) request(ctx context.Context, c *caller, account, target int, a arrival) {
	id := fmt.Sprintf("%s-%d-%d", c.account.Name, r.config.Seed, a.number)
	c.roam()
	inside := r.meters[account].inside(time.Now())
	v, err := r.attempts(ctx, c, a, id)
	now := time.Now()
	due := r.start.Add(a.at)
	r.tally.add(account, a, v, now.Sub(due), inside)
	r.tally.noteBroken(err)
	if a.kind != Order && a.kind != Booking {
		return
	}
	r.ledgers[target].note(a.kind, id, v.outcome)
	if v.outcome == Answered {
		r.gaps[target].note(now)
	}
}

// attempts sends a request, and an order of unknown outcome again with the
// same identifier. What was unknown once stays so unless it is answered.
func (r *run) attempts(ctx context.Context, c *caller, a arrival, id string) (verdict, error) {
	var first verdict
	for n := 0; ; n++ {
		sent, proxy := time.Now(), c.proxy
		err := c.do(ctx, a, id)
		v := judge(err)
		c.observe(Attempt{ID: id, Kind: a.kind, Proxy: proxy, Sent: sent, Ended: time.Now(), Outcome: v.outcome, Code: v.code}, err)
		c.settle(v)
		if first.outcome == Unknown && v.outcome != Answered {
			v = verdict{Unknown, v.code}
		}
		if v.outcome != Unknown || a.kind != Order || n == r.config.Retries {
			return v, err
		}
		first = v
		tasks.PauseUntil(ctx, time.Now().Add(retryPause))
	}
}

// gaps keeps when the writes of one group were acknowledged.
type gaps struct {
	mu   sync.Mutex
	acks []time.Time
}

func (g *gaps) note(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acks = append(g.acks, at)
}

// wrongful reports whether the refusal blames a quota that was kept.
func wrongful(v verdict, inside bool) bool {
	return inside && v.outcome == NotRun && v.code == fault.OverLimit
}

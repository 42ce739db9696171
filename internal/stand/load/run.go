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

// run is the state of one load in progress.
type run struct {
	config    Config
	start     time.Time
	tally     *tally
	histories []*writeHistory
	acks      []*ackTimes
	meters    []*quotaMeter
	queues    [][]chan arrival // by account and target
}

// Run drives the proxies for the configured duration, waits for the last
// answers, checks the guarantees and returns the report. Fill must have filled
// the stock before.
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
		report.Gaps = append(report.Gaps, r.acks[i].longestGap(t.Group, r.start, c.Duration))
	}
	r.verify(ctx, report)
	return report, nil
}

func newRun(c Config, now time.Time) *run {
	r := &run{config: c, start: now, tally: newTally(&c)}
	for range c.Targets {
		r.histories = append(r.histories, newWriteHistory())
		r.acks = append(r.acks, &ackTimes{})
	}
	for i := range c.Accounts {
		r.meters = append(r.meters, newQuotaMeter(&c.Accounts[i], now))
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

// offer queues each arrival of an account when it is due.
func (r *run) offer(ctx context.Context, account int) error {
	queues := r.queues[account]
	defer func() {
		for _, q := range queues {
			close(q)
		}
	}()
	p := newArrivals(&r.config, account)
	for a := p.next(); a.at < r.config.Duration; a = p.next() {
		if !tasks.PauseUntil(ctx, r.start.Add(a.at)) {
			return nil
		}
		select {
		case queues[a.target] <- a:
		default:
			r.tally.addUnsent(account, a)
		}
	}
	return nil
}

func (r *run) serve(ctx context.Context, c *caller, account, target int, queue <-chan arrival) error {
	defer c.close()
	for a := range queue {
		if ctx.Err() != nil || time.Since(r.start.Add(a.at)) > r.config.Timeout {
			r.tally.addUnsent(account, a)
			continue
		}
		r.request(ctx, c, account, target, a)
	}
	return nil
}

// request executes one request, including its retries, and records the outcome.
func (r *run) request(ctx context.Context, c *caller, account, target int, a arrival) {
	id := fmt.Sprintf("%s-%d-%d", c.account.Name, r.config.Seed, a.number)
	c.roam()
	withinQuota := r.meters[account].spend(time.Now())
	res, err := r.attempts(ctx, c, a, id)
	now := time.Now()
	due := r.start.Add(a.at)
	r.tally.add(account, a, res, now.Sub(due), withinQuota)
	r.tally.addViolation(err)
	if a.kind != Order && a.kind != Booking {
		return
	}
	r.histories[target].record(a.kind, id, res.outcome)
	if res.outcome == Answered {
		r.acks[target].add(now)
	}
}

// attempts sends a request, and repeats an order of unknown outcome with the
// same identifier. After an unknown outcome the result stays unknown unless a
// repeat is answered.
func (r *run) attempts(ctx context.Context, c *caller, a arrival, id string) (result, error) {
	var first result
	for n := 0; ; n++ {
		sent, proxy := time.Now(), c.proxy
		err := c.do(ctx, a, id)
		res := classify(err)
		c.observe(Attempt{ID: id, Kind: a.kind, Proxy: proxy, Sent: sent, Ended: time.Now(), Outcome: res.outcome, Code: res.code}, err)
		c.prepareNext(res)
		if first.outcome == Unknown && res.outcome != Answered {
			res = result{Unknown, res.code}
		}
		if res.outcome != Unknown || a.kind != Order || n == r.config.Retries {
			return res, err
		}
		first = res
		tasks.PauseUntil(ctx, time.Now().Add(retryPause))
	}
}

// ackTimes holds when the writes of one group were acknowledged.
type ackTimes struct {
	mu   sync.Mutex
	acks []time.Time
}

func (a *ackTimes) add(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acks = append(a.acks, at)
}

// wrongful reports whether a request within the quota was refused for exceeding
// it.
func wrongful(res result, withinQuota bool) bool {
	return withinQuota && res.outcome == NotRun && res.code == fault.OverLimit
}

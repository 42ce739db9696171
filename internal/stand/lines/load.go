// Package lines is the load and experiment tool for instances on the users'
// platform: it runs the stand-ins of internal/stand/emul behind real addresses,
// with faults at set times, and callers that check what they are promised.
package lines

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

// LoadConfig shapes a load.
type LoadConfig struct {
	Dial   emul.Dial
	Fronts []string // addresses of the instances
	// Routes are those of the groups whose reads see the session's own writes;
	// callers take one each.
	Routes []string
	Keys   []string // one for each account
	// Sessions is how many callers each key has, Pause their mean pause.
	Sessions int
	Pause    time.Duration
	// Writes is the part of the statements that write.
	Writes float64
	// Timeout limits one statement.
	Timeout time.Duration
	Length  time.Duration
	Seed    uint64
}

// Report is what callers saw.
type Report struct {
	Answered int
	// NotRun counts refusals by code, Unknown statements without an answer.
	NotRun  map[string]int
	Unknown int
	// Stale counts reads that lacked an acknowledged write of their session,
	// Lost acknowledged writes that were gone at the end, Undue writes that a
	// refusal had said not to have run.
	Stale, Lost, Undue int
	Latency            *hdrhistogram.Histogram // of answered statements, in microseconds
}

// Broken returns how many promises were broken.
func (r *Report) Broken() int { return r.Stale + r.Lost + r.Undue }

// String returns the report in a few lines.
func (r *Report) String() string {
	at := func(q float64) time.Duration {
		return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
	}
	return fmt.Sprintf("answered %d, not run %v, unknown %d\nlatency p50 %s, p99 %s, worst %s\nbroken: stale %d, lost %d, undue %d\n",
		r.Answered, r.NotRun, r.Unknown, at(50), at(99), at(100), r.Stale, r.Lost, r.Undue)
}

// latency bounds of a report, in microseconds.
const (
	leastLatency = 1
	mostLatency  = 60_000_000
)

// noSession counts statements that found no instance to open a session.
const noSession = "NoSession"

// load collects what all callers see.
type load struct {
	config LoadConfig
	ids    atomic.Uint64
	mu     sync.Mutex
	report Report
}

// Load runs callers for the configured time and reports.
func Load(ctx context.Context, c LoadConfig) (*Report, error) {
	l := &load{config: c, report: Report{NotRun: map[string]int{}, Latency: hdrhistogram.New(leastLatency, mostLatency, 2)}}
	run, cancel := context.WithTimeout(ctx, c.Length)
	defer cancel()
	group := tasks.New(ctx)
	for i, key := range c.Keys {
		for j := range c.Sessions {
			group.Go(func(ctx context.Context) error {
				l.newCaller(i, j, key).run(run, ctx)
				return nil
			})
		}
	}
	err := group.Wait()
	return &l.report, err
}

// caller writes rising numbers to an item of its own and reads them back.
type caller struct {
	load    *load
	key     string
	route   string
	item    string
	random  *rand.Rand
	client  *emul.Client
	next    int
	acked   int          // the latest number that was acknowledged
	least   int          // the lowest that a read of this session may show
	refused map[int]bool // numbers whose write was said not to have run
}

func (l *load) newCaller(account, n int, key string) *caller {
	return &caller{
		load: l, key: key, route: l.config.Routes[n%len(l.config.Routes)], item: fmt.Sprintf("load-%d-%d", account, n),
		random:  rand.New(rand.NewPCG(l.config.Seed, uint64(account*1000+n))),
		refused: make(map[int]bool),
	}
}

// run lasts until run ends, and then reads the item once more.
func (c *caller) run(run, ctx context.Context) {
	for run.Err() == nil {
		pause := time.Duration(c.random.ExpFloat64() * float64(c.load.config.Pause))
		if !tasks.Pause(run, pause) {
			break
		}
		if c.random.Float64() < c.load.config.Writes {
			c.write(ctx)
		} else {
			c.read(ctx)
		}
	}
	c.settle(ctx)
	c.close()
}

func (c *caller) close() {
	if c.client != nil {
		_ = c.client.Close()
		c.client = nil
	}
}

// query runs a statement in the present session or a new one. The second value
// is false when nothing is known of it.
func (c *caller) query(ctx context.Context, text string) (emul.Reply, bool) {
	ctx, cancel := context.WithTimeout(ctx, c.load.config.Timeout)
	defer cancel()
	if c.client == nil && !c.login(ctx) {
		return emul.Reply{Code: noSession}, true
	}
	began := time.Now()
	r, err := c.client.Query(ctx, strconv.FormatUint(c.load.ids.Add(1), 16), text)
	c.load.count(r, err, time.Since(began))
	if err != nil {
		c.close()
	}
	return r, err == nil
}

func (c *caller) login(ctx context.Context) bool {
	l := c.load.config
	client, r, err := emul.Login(ctx, l.Dial, l.Fronts[c.random.IntN(len(l.Fronts))], c.route, c.key)
	if err != nil || !r.OK() {
		if client != nil {
			_ = client.Close()
		}
		c.load.count(emul.Reply{Code: noSession}, nil, 0)
		return false
	}
	c.client, c.least = client, 0
	return true
}

func (l *load) count(r emul.Reply, err error, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil || r.Indeterminate():
		l.report.Unknown++
	case !r.OK():
		l.report.NotRun[r.Code]++
	default:
		l.report.Answered++
		_ = l.report.Latency.RecordValue(min(mostLatency, max(leastLatency, took.Microseconds())))
	}
}

func (c *caller) write(ctx context.Context) {
	c.next++
	r, known := c.query(ctx, fmt.Sprintf("WRITE %s %d", c.item, c.next))
	switch {
	case known && r.OK():
		c.acked, c.least = c.next, c.next
	case known && (r.PromisesNotRun() || r.Code == noSession):
		c.refused[c.next] = true
	}
}

func (c *caller) read(ctx context.Context) {
	r, known := c.query(ctx, "READ "+c.item)
	if known && r.OK() {
		c.check(r, c.least, &c.load.report.Stale)
	}
}

// check counts a read that shows less than it must, or what must not be.
func (c *caller) check(r emul.Reply, least int, broken *int) {
	shown := 0
	if len(r.Rows) > 0 {
		shown, _ = strconv.Atoi(r.Rows[0])
	}
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	if shown < least {
		*broken++
	}
	if c.refused[shown] {
		c.load.report.Undue++
	}
}

const (
	// settleTime is longer than a read of another session may lag behind.
	settleTime = 3 * time.Second
	// settleTries is how often the last read of an item is tried.
	settleTries = 40
)

// settle reads the item once more when all sessions have to see it.
func (c *caller) settle(ctx context.Context) {
	tasks.Pause(ctx, settleTime)
	for range settleTries {
		before := c.acked
		r, known := c.query(ctx, "READ "+c.item)
		if known && r.OK() {
			c.check(r, before, &c.load.report.Lost)
			return
		}
		if !tasks.Pause(ctx, 100*time.Millisecond) {
			return
		}
	}
}

// Package lines is the load and experiment tool for instances on the users'
// platform. It runs the emulated platform of internal/stand/emul on real
// addresses, injects faults at given times, and drives callers that check the
// proxy's consistency guarantees.
package lines

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
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

// Report is the result of a load.
type Report struct {
	Answered int
	// NotRun counts refusals by code, Unknown statements whose outcome is
	// unknown.
	NotRun  map[string]int
	Unknown int
	// Stale counts reads that missed an acknowledged write of their session,
	// Lost acknowledged writes that were missing at the end, and RanAfterRefusal
	// visible writes that had been refused as not run.
	Stale, Lost, RanAfterRefusal int
	// Details describes the first violations that reads showed.
	Details []string
	// Unread counts callers whose last read was not answered although all faults
	// had ended.
	Unread int
	// Closed are the statements whose connection ended without an answer.
	Closed  []Closed
	Stalls  []Stall
	Latency *hdrhistogram.Histogram // of answered statements, in microseconds
}

// Violations returns how often a guarantee was violated.
func (r *Report) Violations() int { return r.Stale + r.Lost + r.RanAfterRefusal + r.Unread }

// String returns the report in a few lines.
func (r *Report) String() string {
	at := func(q float64) time.Duration {
		return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
	}
	return fmt.Sprintf("answered %d, not run %v, unknown %d\nlatency p50 %s, p99 %s, max %s\nviolations: stale %d, lost %d, ran after refusal %d, last read not answered %d\n",
		r.Answered, r.NotRun, r.Unknown, at(50), at(99), at(100), r.Stale, r.Lost, r.RanAfterRefusal, r.Unread)
}

// The range of recorded latencies, in microseconds.
const (
	minLatency = 1
	maxLatency = 60_000_000
)

// noSession is the code under which statements are counted for which no session
// could be opened.
const noSession = "NoSession"

func newLatency() *hdrhistogram.Histogram { return hdrhistogram.New(minLatency, maxLatency, 2) }

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

// caller writes increasing numbers to an item of its own and reads them back. A
// write whose outcome is unknown may take effect late, after later writes. The
// caller then goes on with a new item and reads the old one at the end.
type caller struct {
	load    *load
	account Account
	route   Route
	name    string // of its first item, the prefix of the others
	item    string
	retired []retiredItem
	random  *rand.Rand
	session *session // nil while there is none
	front   string   // address of the instance of the latest session
	request string   // ID of the latest statement
	next    int
	acked   int          // the last acknowledged number
	floor   int          // the lowest number that a read in this session may return
	refused map[int]bool // numbers whose write was refused as not run
}

// retiredItem is an item with a write of unknown outcome.
type retiredItem struct {
	name  string
	acked int
}

func (l *load) newCaller(account, n int) *caller {
	name := fmt.Sprintf("load-%d-%d", account, n)
	return &caller{
		load: l, account: l.config.account(account), route: l.config.Routes[n%len(l.config.Routes)], name: name, item: name,
		random:  rand.New(rand.NewPCG(l.config.Seed, uint64(account*1000+n))),
		refused: make(map[int]bool),
	}
}

// run sends statements until loadCtx ends and then verifies the item.
func (c *caller) run(loadCtx, ctx context.Context) {
	for loadCtx.Err() == nil {
		pause := time.Duration(c.random.ExpFloat64() * float64(c.load.config.Pause))
		if !tasks.Pause(loadCtx, pause) {
			break
		}
		switch {
		case c.random.Float64() >= c.load.config.Writes:
			c.read(ctx)
		case c.random.Float64() < c.load.config.Transactions:
			c.transact(ctx)
		default:
			c.write(ctx)
		}
	}
	c.verifyFinal(ctx)
	c.close()
}

func (c *caller) close() {
	if c.session != nil {
		c.session.close()
		c.session = nil
	}
}

// query runs a statement in the current session or a new one. It returns false
// if the connection was lost and the effect is unknown.
func (c *caller) query(ctx context.Context, text string) (emul.Reply, bool) {
	ctx, cancel := context.WithTimeout(ctx, c.load.config.Timeout)
	defer cancel()
	if c.session == nil && !c.login(ctx) {
		return emul.Reply{Code: noSession}, true
	}
	r, err := c.session.query(ctx, text)
	c.request = c.session.request
	if err != nil {
		c.close()
	}
	return r, err == nil
}

func (c *caller) login(ctx context.Context) bool {
	l := c.load.config
	c.front = l.Fronts[c.random.IntN(len(l.Fronts))]
	c.session = c.load.openSession(ctx, c.front, c.route, c.account)
	c.floor = 0
	return c.session != nil
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
		_ = l.report.Latency.RecordValue(min(maxLatency, max(minLatency, took.Microseconds())))
	}
}

func (l *load) recordClosed(request, front string, err error) {
	var e *emul.ClosedError
	if !errors.As(err, &e) {
		return // nothing was sent
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Closed = append(l.report.Closed, Closed{
		Request: request, Front: front, Sent: e.Sent, Ended: e.Ended, Ending: e.Ending, Partial: e.Partial,
	})
}

func (c *caller) write(ctx context.Context) {
	c.next++
	c.settle(c.query(ctx, fmt.Sprintf("WRITE %s %d", c.item, c.next)))
}

// settle records the outcome of the write of the latest number. It reports
// whether the write is acknowledged.
func (c *caller) settle(r emul.Reply, known bool) (acked bool) {
	switch {
	case known && r.OK():
		c.acked, c.floor = c.next, c.next
		return true
	case known && (r.PromisesNotRun() || r.Code == noSession):
		c.refused[c.next] = true
	default:
		c.retire()
	}
	return false
}

// retire goes on with a new item.
func (c *caller) retire() {
	c.retired = append(c.retired, retiredItem{name: c.item, acked: c.acked})
	c.item = fmt.Sprintf("%s-%d", c.name, len(c.retired))
	c.acked, c.floor = 0, 0
}

// transact writes in a transaction. A transaction whose connection is lost
// before the commit must not take effect.
func (c *caller) transact(ctx context.Context) {
	c.next++
	for _, text := range []string{"BEGIN", fmt.Sprintf("WRITE %s %d", c.item, c.next), "READ " + c.item} {
		if r, known := c.query(ctx, text); !known || !r.OK() {
			c.refused[c.next] = true
			c.close()
			return
		}
		tasks.Pause(ctx, time.Duration(c.random.ExpFloat64()*float64(c.load.config.Pause)))
	}
	if !c.settle(c.query(ctx, "COMMIT")) {
		c.close()
	}
}

func (c *caller) read(ctx context.Context) {
	r, known := c.query(ctx, "READ "+c.item)
	if known && r.OK() {
		c.check(r, c.floor, &c.load.report.Stale)
	}
}

// check increments violations if a read returned a number below floor. It also
// counts reads that return a refused number.
func (c *caller) check(r emul.Reply, floor int, violations *int) {
	value := 0
	if len(r.Rows) > 0 {
		value, _ = strconv.Atoi(r.Rows[0])
	}
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	if value < floor {
		*violations++
		c.describe("%d is older than %d", value, floor)
	}
	if c.refused[value] {
		c.load.report.RanAfterRefusal++
		c.describe("%d was refused", value)
	}
}

// describe keeps the description of a violation. The caller holds the mutex of
// the load.
func (c *caller) describe(format string, args ...any) {
	r := &c.load.report
	if len(r.Details) < maxDetails {
		r.Details = append(r.Details, fmt.Sprintf("%s %s request %s at %s: ", time.Now().UTC().Format(time.RFC3339Nano), c.item, c.request, c.front)+fmt.Sprintf(format, args...))
	}
}

const (
	// maxDetails limits the violations that a report describes.
	maxDetails = 10
	// finalReadDelay exceeds the allowed staleness of a read in a new session.
	finalReadDelay = 3 * time.Second
	// finalReadTries is how often the last read of an item is tried.
	finalReadTries = 40
)

// verifyFinal reads the caller's items when the last acknowledged write has to
// be visible to every session, and counts lost writes.
func (c *caller) verifyFinal(ctx context.Context) {
	tasks.Pause(ctx, finalReadDelay)
	for _, r := range append(c.retired, retiredItem{name: c.item, acked: c.acked}) {
		if !c.verifyItem(ctx, r) {
			c.load.mu.Lock()
			c.load.report.Unread++
			c.load.mu.Unlock()
			return
		}
	}
}

// verifyItem reads one item. It returns false if no read was answered.
func (c *caller) verifyItem(ctx context.Context, item retiredItem) bool {
	c.item = item.name
	for range finalReadTries {
		r, known := c.query(ctx, "READ "+item.name)
		if known && r.OK() {
			c.check(r, item.acked, &c.load.report.Lost)
			return true
		}
		if !tasks.Pause(ctx, 100*time.Millisecond) {
			return false
		}
	}
	return false
}

package lines

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

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

package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// The range and the precision of recorded delays, in microseconds.
const (
	lowestDelay    = int64(1)
	highestDelay   = int64(time.Minute / time.Microsecond)
	delayPrecision = 3 // significant digits
)

// count holds the outcomes and delays of one kind of request or one account.
type count struct {
	row   Row
	delay *hdrhistogram.Histogram
}

func newCount(name string) *count {
	return &count{row: Row{Name: name}, delay: hdrhistogram.New(lowestDelay, highestDelay, delayPrecision)}
}

// tally counts the outcomes of all requests.
type tally struct {
	mu         sync.Mutex
	config     *Config
	kinds      map[Kind]*count
	accounts   []*count
	refusals   map[string]int
	violations Violations
}

func newTally(c *Config) *tally {
	t := &tally{config: c, kinds: map[Kind]*count{}, refusals: map[string]int{}}
	for _, k := range kinds {
		t.kinds[k] = newCount(string(k))
	}
	for _, a := range c.Accounts {
		t.accounts = append(t.accounts, newCount(string(a.Name)))
	}
	return t
}

func (t *tally) add(account int, a arrival, res result, delay time.Duration, withinQuota bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if res.code != "" {
		t.refusals[string(res.code)]++
	}
	for _, c := range []*count{t.kinds[a.kind], t.accounts[account]} {
		c.add(res, delay, withinQuota, t.config.InTime)
	}
}

func (c *count) add(res result, delay time.Duration, withinQuota bool, limit time.Duration) {
	r := &c.row
	r.Sent++
	switch res.outcome {
	case Answered:
		r.Answered++
		_ = c.delay.RecordValue(min(max(delay.Microseconds(), lowestDelay), highestDelay))
	case NotRun:
		r.NotRun++
	case Failed:
		r.Failed++
	case Unknown:
		r.Unknown++
	}
	if wrongful(res, withinQuota) {
		r.Wrongful++
	}
	if !withinQuota {
		return
	}
	r.WithinQuota++
	if res.outcome == Answered && delay <= limit {
		r.InTime++
	}
}

// addUnsent counts a request that no caller was free to send. It does not count
// as within the quota, because it never reached a proxy.
func (t *tally) addUnsent(account int, a arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kinds[a.kind].row.Unsent++
	t.accounts[account].row.Unsent++
}

func (t *tally) addViolation(err error) {
	var wrong *answerError
	if !errors.As(err, &wrong) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch violations := &t.violations; {
	case wrong.ownWrite:
		violations.add(&violations.OwnWrites, "%s", wrong.text)
	case wrong.foreign:
		violations.add(&violations.ForeignAnswers, "%s", wrong.text)
	default:
		violations.add(&violations.PartialAnswers, "%s", wrong.text)
	}
}

func (t *tally) report(c *Config) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Report{Seed: c.Seed, Seconds: c.Duration.Seconds(), Refusals: t.refusals, Violations: t.violations}
	for _, k := range kinds {
		r.Kinds = append(r.Kinds, t.kinds[k].finish())
	}
	for _, a := range t.accounts {
		r.Accounts = append(r.Accounts, a.finish())
	}
	return r
}

func (c *count) finish() Row {
	c.row.P50 = millis(c.delay.ValueAtQuantile(50))
	c.row.P99 = millis(c.delay.ValueAtQuantile(99))
	c.row.Max = millis(c.delay.Max())
	return c.row
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// longestGap returns the longest time in which no write of a group was
// acknowledged, including the times before the first and after the last
// acknowledgement.
func (a *ackTimes) longestGap(name ident.Group, start time.Time, length time.Duration) Gap {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortFunc(a.acks, time.Time.Compare)
	out := Gap{Group: name, Writes: len(a.acks)}
	previous := start
	for _, at := range append(slices.Clone(a.acks), start.Add(length)) {
		if d := at.Sub(previous); d > time.Duration(out.Longest*float64(time.Second)) {
			out.Longest, out.From = d.Seconds(), previous.Sub(start).Seconds()
		}
		previous = at
	}
	return out
}

package tally

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"regexp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
)

// Summary counts statements by cause, by second and by chosen fields.
type Summary struct {
	by      []Field
	causes  counter[Cause]
	fields  map[Field]counter[string]
	seconds counter[time.Time]
	total   int
	broken  int
}

// Cause is why a statement failed. Numbers in Detail are replaced, so that
// statements that differ only in them count as one cause.
type Cause struct {
	Outcome string
	Reason  string
	Detail  string
}

// NewSummary returns an empty summary that also counts by the given fields.
func NewSummary(by ...Field) *Summary {
	s := &Summary{by: by, causes: counter[Cause]{}, fields: map[Field]counter[string]{}, seconds: counter[time.Time]{}}
	for _, f := range by {
		s.fields[f] = counter[string]{}
	}
	return s
}

const maxLineBytes = 1 << 20

// Read counts the statements of a log and skips all other lines. Text before the
// first brace of a line, such as the prefix of a collector, is ignored.
func (s *Summary) Read(log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		text := lines.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		l, ok, err := parse(text[start:])
		switch {
		case err != nil:
			s.broken++
		case ok:
			s.add(l)
		}
	}
	return errors.Wrap(lines.Err(), "read log")
}

// add counts a statement.
func (s *Summary) add(l Line) {
	s.total++
	s.causes.add(causeOf(l), l)
	s.seconds.add(l.Time.Truncate(time.Second), l)
	for _, f := range s.by {
		s.fields[f].add(l.Fields[f], l)
	}
}

// late is the reason of a statement that succeeded and missed its objective.
const late = "Late"

var number = regexp.MustCompile(`[0-9]+(\.[0-9]+)?`)

func causeOf(l Line) Cause {
	c := Cause{
		Outcome: l.Fields[fieldOutcome],
		Reason:  l.Fields[fieldReason],
		Detail:  number.ReplaceAllString(l.Fields[fieldDetail], "N"),
	}
	if c.Reason == engine.NoReason.String() {
		c.Reason = late
	}
	return c
}

// Count describes the statements that have one key in common.
type Count[K comparable] struct {
	Key         K
	Statements  int
	First, Last time.Time
	Took        Spread
	Waited      Spread
}

// Spread holds quantiles of durations.
type Spread struct {
	Median time.Duration
	P90    time.Duration // 90th percentile
	Max    time.Duration
}

func spreadOf(all []time.Duration) Spread {
	slices.Sort(all)
	return Spread{Median: percentile(all, 50), P90: percentile(all, 90), Max: percentile(all, 100)}
}

// percentile returns the smallest duration that at least p percent of the
// sorted durations do not exceed.
func percentile(sorted []time.Duration, p int) time.Duration {
	const all = 100
	return sorted[(len(sorted)*p+all-1)/all-1]
}

// Report is a summary in the order in which it is read: the most frequent
// causes and keys first, seconds by time.
type Report struct {
	Statements int
	Broken     int // lines that looked like log lines and could not be decoded
	Causes     []Count[Cause]
	Fields     []FieldCounts
	Seconds    []Count[time.Time]
}

// FieldCounts counts the statements by the values of a field.
type FieldCounts struct {
	Field  Field
	Values []Count[string]
}

// Report returns the counts.
func (s *Summary) Report() Report {
	r := Report{Statements: s.total, Broken: s.broken, Causes: s.causes.counts(), Seconds: s.seconds.counts()}
	for _, f := range s.by {
		r.Fields = append(r.Fields, FieldCounts{Field: f, Values: s.fields[f].counts()})
	}
	slices.SortFunc(r.Seconds, func(a, b Count[time.Time]) int { return a.Key.Compare(b.Key) })
	return r
}

// counter collects the statements by key.
type counter[K comparable] map[K]*group

type group struct {
	first, last  time.Time
	took, waited []time.Duration
}

func (c counter[K]) add(k K, l Line) {
	g := c[k]
	if g == nil {
		g = &group{first: l.Time, last: l.Time}
		c[k] = g
	}
	if l.Time.Before(g.first) {
		g.first = l.Time
	}
	if l.Time.After(g.last) {
		g.last = l.Time
	}
	g.took, g.waited = append(g.took, l.Took), append(g.waited, l.Waited)
}

// counts returns the keys, the most frequent first, and of equally frequent
// ones the earliest.
func (c counter[K]) counts() []Count[K] {
	out := make([]Count[K], 0, len(c))
	for k, g := range c {
		out = append(out, Count[K]{
			Key: k, Statements: len(g.took), First: g.first, Last: g.last, Took: spreadOf(g.took), Waited: spreadOf(g.waited),
		})
	}
	slices.SortFunc(out, func(a, b Count[K]) int {
		return cmp.Or(cmp.Compare(b.Statements, a.Statements), a.First.Compare(b.First))
	})
	return out
}

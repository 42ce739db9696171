package sched

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// streamStep is the resolution of the simulation.
const streamStep = time.Millisecond

// stream is a series of calls of one account, with the bounds that its callers
// need.
type stream struct {
	name    string
	call    engine.Call
	timeout time.Duration
	// perSecond calls arrive between from and until.
	perSecond float64
	from      time.Duration
	until     time.Duration
	// Every slowEvery-th call takes slowFactor times service.
	service time.Duration
	slow    bool
	// The answer to every lost-th call does not arrive. The caller's connection
	// ends after lostTimeout.
	lost int
	// measureFrom is when the calls start to count for the bounds.
	measureFrom time.Duration
	bounds      []bound
	// A rejected call is sent again after the time it was told, up to repeats
	// times.
	repeats int

	arrived float64
	calls   int // that count
	inTime  int // answered within the target, or within the timeout without one
	granted int
	refused int // rejected on arrival
	expired int // rejected after waiting
	longest time.Duration
	behind  time.Duration // longest wait for a slot at the endpoint
	retries []time.Duration
}

const (
	slowEvery  = 33
	slowFactor = 7

	lostTimeout = 400 * time.Millisecond
)

// bound is a condition on the results of a stream.
type bound struct {
	name  string
	value float64
}

// streamCall is one simulated call.
type streamCall struct {
	stream  *stream
	arrival time.Time
	service time.Duration
	counts  bool
	repeats int // so far
	lost    bool
}

// streamReturn is a rejected call that is sent again.
type streamReturn struct {
	at   time.Time
	call *streamCall
}

// streamRun simulates the endpoints of a group under load. An endpoint runs as many
// calls at once as it has slots. Further ones wait there.
type streamRun struct {
	scheduler *Scheduler
	now       time.Time
	start     time.Time
	last      WaiterID
	calls     map[WaiterID]*streamCall
	slots     map[ident.Endpoint][]time.Time // when each slot becomes free
	ends      []streamEnd
	returns   []streamReturn
}

// streamEnd is the end of a running call.
type streamEnd struct {
	at    time.Time
	began time.Time
	call  *streamCall
	grant Grant
}

// runStreams simulates the streams in the lines of a test and checks their bounds:
// shop rate=1600 until=1s service=15ms timeout=800ms target=150ms in_time>=0.4.
func (s *script) runStreams(t *testing.T, d *datadriven.TestData) string {
	r := &streamRun{scheduler: s.scheduler, now: s.now, start: s.now, calls: map[WaiterID]*streamCall{}, slots: map[ident.Endpoint][]time.Time{}, last: 100000}
	var streams []*stream
	end := time.Duration(0)
	for _, line := range strings.Split(d.Input, "\n") {
		st := parseStream(t, line)
		streams = append(streams, st)
		end = max(end, st.until+st.timeout*time.Duration(2*st.repeats+1))
	}
	for ; r.now.Sub(r.start) <= end; r.now = r.now.Add(streamStep) {
		r.step(streams)
	}
	s.now = r.now
	var out strings.Builder
	for _, st := range streams {
		out.WriteString(st.report())
	}
	return out.String()
}

func parseStream(t *testing.T, line string) *stream {
	fields := strings.Fields(line)
	st := &stream{
		name:    fields[0],
		call:    engine.Call{Phase: engine.Single, Account: ident.Account(fields[0]), Priority: 1, MaxLag: time.Hour, Statement: engine.Statement{Op: engine.Read}},
		timeout: 800 * time.Millisecond, until: time.Second, service: 15 * time.Millisecond,
	}
	duration := func(text string) time.Duration {
		span, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		return span
	}
	number := func(text string) float64 {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	for _, f := range fields[1:] {
		if name, value, ok := strings.Cut(f, ">="); ok {
			st.bounds = append(st.bounds, bound{name: name + ">=", value: number(value)})
			continue
		}
		if name, value, ok := strings.Cut(f, "<="); ok {
			st.bounds = append(st.bounds, bound{name: name + "<=", value: number(value)})
			continue
		}
		name, value, _ := strings.Cut(f, "=")
		switch name {
		case "account":
			st.call.Account = ident.Account(value)
		case "rate":
			st.perSecond = number(value)
		case "from":
			st.from = duration(value)
		case "until":
			st.until = duration(value)
		case "measure_from":
			st.measureFrom = duration(value)
		case "service":
			st.service = duration(value)
		case "lost":
			st.lost = int(number(value))
		case "slow":
			st.slow = true
		case "repeats":
			st.repeats = int(number(value))
		case "timeout":
			st.timeout = duration(value)
		case "target":
			st.call.Target = duration(value)
		case "priority":
			st.call.Priority = int(number(value))
		case "primary":
			st.call.PrimaryOnly = true
		case "write":
			st.call.PrimaryOnly, st.call.Statement.Op = true, engine.Write
		default:
			t.Fatalf("unknown field %s", f)
		}
	}
	st.call.Timeout = st.timeout
	return st
}

// step ends the calls that are due, and starts those that arrive.
func (r *streamRun) step(streams []*stream) {
	r.end()
	if r.now.Sub(r.start)%(20*time.Millisecond) == 0 {
		r.update(EndpointObserved{Endpoint: "a", Began: r.now, Position: ident.LogPosition{Term: 1, Position: 10}, WasPrimary: true})
		r.update(Tick{})
	}
	r.repeat()
	elapsed := r.now.Sub(r.start)
	for _, st := range streams {
		if elapsed < st.from || elapsed >= st.until {
			continue
		}
		for st.arrived += st.perSecond * streamStep.Seconds(); st.arrived >= 1; st.arrived-- {
			r.arrive(st, elapsed >= st.measureFrom)
		}
	}
}

// arrive starts a new call of a stream.
func (r *streamRun) arrive(st *stream, counts bool) {
	c := &streamCall{stream: st, arrival: r.now, service: st.service, counts: counts}
	if st.slow && int(r.last)%slowEvery == 0 {
		c.service *= slowFactor
	}
	c.lost = st.lost > 0 && int(r.last)%st.lost == 0
	if counts {
		st.calls++
	}
	r.acquire(c)
}

func (r *streamRun) acquire(c *streamCall) {
	r.last++
	r.calls[r.last] = c
	call := c.stream.call
	r.update(Acquire{Waiter: r.last, Call: &call, Deadline: r.now.Add(c.stream.timeout)})
}

// repeat sends the rejected calls again that are due.
func (r *streamRun) repeat() {
	pending := r.returns
	r.returns = nil
	for _, l := range pending {
		if l.at.After(r.now) {
			r.returns = append(r.returns, l)
		} else {
			r.acquire(l.call)
		}
	}
}

func (r *streamRun) end() {
	slices.SortStableFunc(r.ends, func(a, b streamEnd) int { return a.at.Compare(b.at) })
	for len(r.ends) > 0 && !r.ends[0].at.After(r.now) {
		e := r.ends[0]
		r.ends = r.ends[1:]
		call := e.call.stream.call
		limit := e.call.stream.timeout
		if call.Target > 0 {
			limit = call.Target
		}
		if e.call.lost {
			r.update(ConnLost{Conn: e.grant.Conn})
			continue
		}
		if e.call.counts && e.at.Sub(e.call.arrival) <= limit {
			e.call.stream.inTime++
		}
		r.update(Released{Conn: e.grant.Conn})
		r.update(EndpointObserved{Endpoint: e.grant.Endpoint, Began: e.began, Took: r.now.Sub(e.began), UsedSlot: true, Kind: KindOf(&call)})
	}
}

func (r *streamRun) update(m Message) {
	for _, c := range r.scheduler.Update(r.now, m) {
		switch c := c.(type) {
		case Grant:
			r.grant(c)
		case Reject:
			r.reject(c)
		case Dial:
			r.update(DialDone{Conn: c.Conn, Result: Connected})
		}
	}
}

// grant starts a call at the first slot of the endpoint that becomes free.
func (r *streamRun) grant(g Grant) {
	c := r.calls[g.Waiter]
	if r.slots[g.Endpoint] == nil {
		r.slots[g.Endpoint] = make([]time.Time, r.scheduler.endpoints[g.Endpoint].Slots)
	}
	slots := r.slots[g.Endpoint]
	first := 0
	for n := range slots {
		if slots[n].Before(slots[first]) {
			first = n
		}
	}
	began := r.now
	if slots[first].After(began) {
		began = slots[first]
	}
	slots[first] = began.Add(c.service)
	if c.counts {
		c.stream.behind = max(c.stream.behind, began.Sub(r.now))
		c.stream.granted++
		c.stream.longest = max(c.stream.longest, g.Waited)
	}
	at := slots[first]
	if c.lost {
		at = r.now.Add(lostTimeout)
	}
	r.ends = append(r.ends, streamEnd{at: at, began: r.now, call: c, grant: g})
}

func (r *streamRun) reject(j Reject) {
	c := r.calls[j.Waiter]
	if c.repeats < c.stream.repeats {
		c.repeats++
		r.returns = append(r.returns, streamReturn{at: r.now.Add(j.RetryIn), call: c})
	}
	if !c.counts {
		return
	}
	c.stream.retries = append(c.stream.retries, r.now.Add(j.RetryIn).Sub(r.start))
	if j.Waited == 0 {
		c.stream.refused++
	} else {
		c.stream.expired++
	}
}

// report states for each bound whether it holds.
func (st *stream) report() string {
	var out strings.Builder
	for _, b := range st.bounds {
		name := b.name[:len(b.name)-2]
		measured := st.measure(name)
		if strings.HasSuffix(b.name, ">=") == (measured >= b.value) || measured == b.value {
			fmt.Fprintf(&out, "%s: %s%g holds\n", st.name, b.name, b.value)
		} else {
			fmt.Fprintf(&out, "%s: %s%g fails, it is %.3f of %d calls\n", st.name, b.name, b.value, measured, st.calls)
		}
	}
	return out.String()
}

// measure returns a result of a stream: shares of its calls, the longest wait in the
// queue and at the endpoint in milliseconds, or how the times of retries are spread.
func (st *stream) measure(name string) float64 {
	all := float64(max(1, st.calls))
	switch name {
	case "in_time":
		return float64(st.inTime) / all
	case "granted":
		return float64(st.granted) / all
	case "refused":
		return float64(st.refused) / all
	case "expired":
		return float64(st.expired) / all
	case "longest_ms":
		return float64(st.longest.Milliseconds())
	case "behind_ms":
		return float64(st.behind.Milliseconds())
	case "retry_bunch":
		return float64(st.largestBunch())
	}
	panic("unknown bound " + name)
}

// largestBunch returns the largest number of rejected calls that retry within
// the same 10 ms.
func (st *stream) largestBunch() int {
	count := make(map[time.Duration]int)
	largest := 0
	for _, at := range st.retries {
		count[at/(10*time.Millisecond)]++
		largest = max(largest, count[at/(10*time.Millisecond)])
	}
	return largest
}

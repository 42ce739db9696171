package group

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// floorGrace is how long a round waits for the primary once a majority has
// answered.
const floorGrace = 10 * time.Millisecond

// Floor returns a mark that covers every write that was acknowledged before
// asked, for a session that shows no token. A majority holds each such write,
// so the highest mark among any majority covers it. The probes began after
// asked and are shared by all that wait.
//
// The mark may name records that a later promotion discards. It keeps nobody
// waiting: an endpoint that knows a later term maps it to that term's start.
func (k *Monitor) Floor(ctx context.Context, asked time.Time) (ident.LogPosition, error) {
	r, start := k.floors.join(asked)
	if start {
		k.send(roundAsked{}, asked)
	}
	select {
	case <-r.done:
		return r.mark, errors.Wrapf(r.err, "floor of group %s", k.group)
	case <-ctx.Done():
		return ident.LogPosition{}, errors.Wrapf(ctx.Err(), "floor of group %s", k.group)
	case <-k.tasks.Context().Done():
		return ident.LogPosition{}, errors.Wrapf(ErrClosed, "floor of group %s", k.group)
	}
}

// roundAsked tells the loop to begin the next round of floor probes.
type roundAsked struct{}

func (roundAsked) msg() {}

// floorRound is one set of probes and its result. The fields below done are
// set before done is closed.
type floorRound struct {
	began time.Time
	done  chan struct{}
	mark  ident.LogPosition
	err   error
}

// floors shares rounds among those that wait: at most one runs, and at most
// one is next.
type floors struct {
	mu      sync.Mutex
	running *floorRound
	next    *floorRound
}

// join returns a round that begins, or began, not before asked, and whether
// the caller is to start it.
func (f *floors) join(asked time.Time) (r *floorRound, start bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running != nil && !f.running.began.Before(asked) {
		return f.running, false
	}
	if f.next != nil {
		return f.next, false
	}
	f.next = &floorRound{done: make(chan struct{})}
	return f.next, f.running == nil
}

// begin makes the next round the running one, or returns nil when there is
// nothing to begin.
func (f *floors) begin(now time.Time) *floorRound {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running != nil || f.next == nil {
		return nil
	}
	f.running, f.next = f.next, nil
	f.running.began = now
	return f.running
}

// end publishes the result and reports whether another round is wanted.
func (f *floors) end(mark ident.LogPosition, err error) (again bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.running
	f.running = nil
	r.mark, r.err = mark, err
	close(r.done)
	return f.next != nil
}

// runRound begins a round of floor probes. It is called by the loop.
func (k *Monitor) runRound(time.Time) {
	r := k.floors.begin(time.Now())
	if r == nil {
		return
	}
	k.gauges.floorRounds.Inc()
	v := k.View()
	answers := make(chan floorAnswer, len(v.Endpoints))
	for i := range v.Endpoints {
		e := v.Endpoints[i].Endpoint
		k.tasks.Go(func(ctx context.Context) error {
			answers <- k.askFloor(ctx, e)
			return nil
		})
	}
	k.tasks.Go(func(ctx context.Context) error {
		mark, err := k.gather(ctx, v, answers)
		if err != nil {
			k.gauges.floorsFailed.Inc()
		}
		if k.floors.end(mark, err) {
			k.send(roundAsked{}, time.Now())
		}
		return nil
	})
}

type floorAnswer struct {
	endpoint ident.Endpoint
	status   Status
	err      error
}

func (k *Monitor) askFloor(ctx context.Context, e envdoc.Endpoint) floorAnswer {
	ctx, cancel := context.WithTimeout(ctx, k.bounds.CallTimeout)
	defer cancel()
	began := time.Now()
	status, err := k.dial(e.Name).Status(ctx)
	if err == nil {
		k.offer(StatusSeen{Endpoint: e.Name, Status: status, Began: began}, time.Now())
	}
	return floorAnswer{endpoint: e.Name, status: status, err: err}
}

// gather collects answers until they suffice.
func (k *Monitor) gather(ctx context.Context, v *View, answers <-chan floorAnswer) (ident.LogPosition, error) {
	t := newTally(v)
	var grace <-chan time.Time
	for !t.complete() {
		select {
		case a := <-answers:
			t.add(a)
		case <-grace:
			return t.mark, nil
		case <-ctx.Done():
			return ident.LogPosition{}, errors.Wrap(ctx.Err(), "gather marks")
		}
		if grace == nil && t.majority() {
			timer := time.NewTimer(floorGrace)
			defer timer.Stop()
			grace = timer.C
		}
	}
	if !t.majority() {
		return ident.LogPosition{}, errors.Wrapf(ErrNoMajority, "%d of %d", t.answered, t.servers)
	}
	return t.mark, nil
}

// tally is the highest mark among the servers that answered.
type tally struct {
	servers  int
	primary  ident.Endpoint
	answered int
	failed   int
	settled  bool // the primary answered, failed, or is not known
	mark     ident.LogPosition
}

func newTally(v *View) *tally {
	p := v.PrimaryName()
	return &tally{servers: len(v.Endpoints), primary: p, settled: p == ""}
}

func (t *tally) add(a floorAnswer) {
	t.settled = t.settled || a.endpoint == t.primary
	if a.err != nil {
		t.failed++
		return
	}
	t.answered++
	if a.status.Last.Covers(t.mark) {
		t.mark = a.status.Last
	}
}

func (t *tally) majority() bool { return t.answered > t.servers/2 }

// complete reports whether no further answer is waited for.
func (t *tally) complete() bool {
	return t.answered+t.failed == t.servers || t.majority() && t.settled
}

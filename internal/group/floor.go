package group

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// floorGrace is how long a floor round waits for the primary's answer once a
// majority has answered.
const floorGrace = 10 * time.Millisecond

// Floor returns a log position that covers every write acknowledged before
// requestedAt, for a session without a token. A majority holds each such write,
// so the highest position among any majority covers it. The probes begin after
// requestedAt and are shared by all concurrent callers. It returns
// ErrNoMajority when too few servers answer, ErrClosed after Close, or the
// error of ctx.
//
// The position may lie in records that a later promotion discards. This blocks
// no read: an endpoint that knows a later term maps such a position to the
// start of that term.
func (m *Monitor) Floor(ctx context.Context, requestedAt time.Time) (ident.LogPosition, error) {
	r, start := m.floors.join(requestedAt)
	if start {
		m.send(floorRequested{}, requestedAt)
	}
	select {
	case <-r.done:
		return r.position, errors.Wrapf(r.err, "floor of group %s", m.group)
	case <-ctx.Done():
		return ident.LogPosition{}, errors.Wrapf(ctx.Err(), "floor of group %s", m.group)
	case <-m.tasks.Context().Done():
		return ident.LogPosition{}, errors.Wrapf(ErrClosed, "floor of group %s", m.group)
	}
}

// floorRequested makes the loop begin the next round of floor probes.
type floorRequested struct{}

func (floorRequested) msg() {}

// floorRound is one set of floor probes and its result. The fields after done
// are set before done is closed.
type floorRound struct {
	began    time.Time
	done     chan struct{}
	position ident.LogPosition
	err      error
}

// floorRounds shares rounds among concurrent callers: at most one round runs
// and at most one is queued behind it.
type floorRounds struct {
	mu      sync.Mutex
	running *floorRound
	next    *floorRound
}

// join returns a round that begins or began no earlier than requestedAt, and
// whether the caller has to start it.
func (f *floorRounds) join(requestedAt time.Time) (r *floorRound, start bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running != nil && !f.running.began.Before(requestedAt) {
		return f.running, false
	}
	if f.next != nil {
		return f.next, false
	}
	f.next = &floorRound{done: make(chan struct{})}
	return f.next, f.running == nil
}

// begin starts the queued round. It returns nil when a round is running or
// none is queued.
func (f *floorRounds) begin(now time.Time) *floorRound {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running != nil || f.next == nil {
		return nil
	}
	f.running, f.next = f.next, nil
	f.running.began = now
	return f.running
}

// finish publishes the result of the running round and reports whether another
// round is queued.
func (f *floorRounds) finish(position ident.LogPosition, err error) (again bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.running
	f.running = nil
	r.position, r.err = position, err
	close(r.done)
	return f.next != nil
}

// startFloorRound begins a round of floor probes. It is called by the loop.
func (m *Monitor) startFloorRound(time.Time) {
	r := m.floors.begin(time.Now())
	if r == nil {
		return
	}
	m.metrics.floorRounds.Inc()
	v := m.View()
	answers := make(chan floorReply, len(v.Endpoints))
	for i := range v.Endpoints {
		e := v.Endpoints[i].Endpoint
		m.tasks.Go(func(ctx context.Context) error {
			answers <- m.queryFloor(ctx, e)
			return nil
		})
	}
	m.tasks.Go(func(ctx context.Context) error {
		position, err := m.collectFloor(ctx, v, answers)
		if err != nil {
			m.metrics.floorsFailed.Inc()
		}
		if m.floors.finish(position, err) {
			m.send(floorRequested{}, time.Now())
		}
		return nil
	})
}

type floorReply struct {
	endpoint ident.Endpoint
	status   Status
	err      error
}

func (m *Monitor) queryFloor(ctx context.Context, e envdoc.Endpoint) floorReply {
	ctx, cancel := context.WithTimeout(ctx, m.bounds.CallTimeout)
	defer cancel()
	began := time.Now()
	status, err := m.dial(e.Name).Status(ctx)
	if err == nil {
		m.trySend(ProbeAnswered{Endpoint: e.Name, Status: status, Began: began}, time.Now())
	}
	return floorReply{endpoint: e.Name, status: status, err: err}
}

// collectFloor reads replies until no further one is needed.
func (m *Monitor) collectFloor(ctx context.Context, v *View, answers <-chan floorReply) (ident.LogPosition, error) {
	t := newFloorTally(v)
	var grace <-chan time.Time
	for !t.complete() {
		select {
		case a := <-answers:
			t.add(a)
		case <-grace:
			return t.position, nil
		case <-ctx.Done():
			return ident.LogPosition{}, errors.Wrap(ctx.Err(), "collect log positions")
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
	return t.position, nil
}

// floorTally counts the replies of a floor round and holds the highest log
// position among them.
type floorTally struct {
	servers     int
	primary     ident.Endpoint
	answered    int
	failed      int
	primaryDone bool // the primary answered or failed, or no primary is known
	position    ident.LogPosition
}

func newFloorTally(v *View) *floorTally {
	p := v.PrimaryName()
	return &floorTally{servers: len(v.Endpoints), primary: p, primaryDone: p == ""}
}

func (t *floorTally) add(a floorReply) {
	t.primaryDone = t.primaryDone || a.endpoint == t.primary
	if a.err != nil {
		t.failed++
		return
	}
	t.answered++
	if a.status.Last.Covers(t.position) {
		t.position = a.status.Last
	}
}

func (t *floorTally) majority() bool { return t.answered > t.servers/2 }

// complete reports whether the round needs no further reply.
func (t *floorTally) complete() bool {
	return t.answered+t.failed == t.servers || t.majority() && t.primaryDone
}

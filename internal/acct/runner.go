package acct

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	storeTimeout  = 2 * time.Second
	storeWorkers  = 32
	swapQueueSize = 4096
	closeTimeout  = 5 * time.Second
)

// Sender is the part of peer.Sender that a Runner needs.
type Sender interface {
	Send(to ident.Instance, message peer.Message)
}

// Runner runs the Quota of a process against the store and the peers, and keeps
// its Authenticator up to date with the document in force.
type Runner struct {
	env    ident.Environment
	leases store.Leases
	sender Sender
	events *event.Log
	clock  func() time.Time
	timing Timing
	rank   Rank
	seed   uint64

	authenticator *Authenticator
	quota         *Quota
	admission     *Admission
	inbox         *inbox
	swaps         chan SwapLease
	reads         chan struct{}
	group         *tasks.Group
	done          chan struct{} // closed once stopped and idle

	mu      sync.Mutex // guards version; not taken by requests
	version ident.Version
}

// RunnerOption configures a Runner before it starts.
type RunnerOption func(*Runner)

// WithLease sets the length of quota leases.
func WithLease(length time.Duration) RunnerOption {
	return func(r *Runner) { r.timing = DefaultTiming(length) }
}

// WithTiming sets all durations.
func WithTiming(timing Timing) RunnerOption { return func(r *Runner) { r.timing = timing } }

// WithRank sets how instances are ranked for parts. It must be the same on
// every instance.
func WithRank(rank Rank) RunnerOption { return func(r *Runner) { r.rank = rank } }

// WithClock sets the clock.
func WithClock(clock func() time.Time) RunnerOption { return func(r *Runner) { r.clock = clock } }

// WithSeed makes nonces and jitter repeatable, for tests.
func WithSeed(seed uint64) RunnerOption { return func(r *Runner) { r.seed = seed } }

// NewRunner returns a Runner that holds no leases until Start. events may be
// nil.
func NewRunner(self ident.Instance, env ident.Environment, leases store.Leases, sender Sender, events *event.Log, options ...RunnerOption) *Runner {
	r := &Runner{
		env: env, leases: leases, sender: sender, events: events,
		clock: time.Now, timing: DefaultTiming(DefaultLease), rank: RankByHash, seed: rand.Uint64(),
		authenticator: NewAuthenticator(), inbox: newInbox(),
		swaps: make(chan SwapLease, swapQueueSize), reads: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, o := range options {
		o(r)
	}
	random := rand.New(rand.NewPCG(r.seed, mix(r.seed)))
	r.quota = NewQuota(self, r.timing, r.rank, random, r.clock())
	r.admission = NewAdmission(r.authenticator, r.quota.Limiter(), r.inbox.wake, r.clock)
	return r
}

// Admission returns the Admitter for the request path.
func (r *Runner) Admission() *Admission { return r.admission }

// Authenticator returns the authenticator, on which the caller sets whether the
// document may be trusted.
func (r *Runner) Authenticator() *Authenticator { return r.authenticator }

// SetDocument puts a document in force. Keys and routes change at once. A
// version lower than the one in force is ignored.
func (r *Runner) SetDocument(document *envdoc.Document, version ident.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version < r.version {
		return
	}
	r.version = version
	r.authenticator.Set(document)
	r.inbox.put(AccountsChanged{Version: version, Accounts: document.Accounts})
}

// SetPeers sets the live instances.
func (r *Runner) SetPeers(live []ident.Instance) { r.inbox.put(LiveChanged{Live: live}) }

// Receive handles a message from a peer. It ignores messages that do not
// concern quotas, and drops messages when too many are queued. It does not
// block.
func (r *Runner) Receive(from ident.Instance, message peer.Message, _ time.Time) {
	switch m := message.(type) {
	case peer.TokenRequest:
		r.inbox.offer(TokenRequestReceived{From: from, Request: m})
	case peer.TokenLoan:
		r.inbox.offer(TokenLoanReceived{From: from, Loan: m})
	case peer.LeaseRequest:
		r.inbox.offer(LeaseRequestReceived{From: from, Request: m})
	case peer.LeasePromise:
		r.inbox.offer(LeasePromiseReceived{From: from, Promise: m})
	}
}

// Start runs until Close. If ctx ends first, the leases are not released but
// lapse.
func (r *Runner) Start(ctx context.Context) {
	r.group = tasks.New(ctx)
	r.group.Go(r.run)
	r.group.Go(r.readRows)
	for range storeWorkers {
		r.group.Go(r.swapRows)
	}
}

// Close releases every part, for at most closeTimeout, and waits for all
// goroutines of the runner.
func (r *Runner) Close() error {
	if r.group == nil {
		return nil
	}
	r.inbox.put(StopRequested{})
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
		klog.InfoS("Quota leases were not released in time and will lapse")
	case <-r.group.Context().Done():
	}
	return errors.Wrap(r.group.Close(), "close quota runner")
}

// run passes inputs to Quota and executes its commands.
func (r *Runner) run(ctx context.Context) error {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	stopped := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.update(Tick{})
		case <-r.inbox.signal:
			for _, m := range r.inbox.drain() {
				_, stop := m.(StopRequested)
				stopped = stopped || stop
				r.update(m)
			}
		}
		if stopped && r.quota.Idle() {
			close(r.done)
			return nil
		}
	}
}

func (r *Runner) update(m Msg) {
	now := r.clock()
	for _, c := range r.quota.Update(m, now) {
		r.execute(c, now)
	}
}

func (r *Runner) execute(c Cmd, now time.Time) {
	switch c := c.(type) {
	case SwapLease:
		select {
		case r.swaps <- c:
		default:
			r.inbox.put(SwapDone{New: c.New, Result: SwapConflict})
		}
	case ReadLeases:
		r.reads <- struct{}{} // does not block: Quota has at most one read in flight
	case SendPeer:
		r.sender.Send(c.To, c.Message)
	case Record:
		r.record(c, now)
	}
}

func (r *Runner) record(rec Record, now time.Time) {
	klog.V(1).InfoS("Quota", "kind", rec.Kind, "account", rec.Account, "peer", rec.Peer)
	countEvent(rec.Kind)
	if r.events != nil {
		r.events.Emit(now, rec.Kind, event.Subject{Account: rec.Account, Peer: rec.Peer}, event.Ref{}, rec.Note)
	}
}

func (r *Runner) readRows(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.reads:
			r.inbox.put(r.readOnce(ctx))
		}
	}
}

func (r *Runner) readOnce(ctx context.Context) Msg {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	startedAt := r.clock()
	rows, err := r.leases.All(ctx, r.env)
	if err != nil {
		klog.V(1).InfoS("Reading quota leases failed", "err", err)
		return ReadFailed{}
	}
	return LeasesRead{StartedAt: startedAt, Rows: rows}
}

func (r *Runner) swapRows(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-r.swaps:
			r.inbox.put(SwapDone{New: c.New, Result: r.swapOnce(ctx, c)})
		}
	}
}

func (r *Runner) swapOnce(ctx context.Context, c SwapLease) SwapResult {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := r.leases.Swap(ctx, r.env, c.Old, c.New)
	switch {
	case err == nil:
		return SwapOK
	case errors.Is(err, store.ErrConflict):
		return SwapConflict
	}
	klog.V(1).InfoS("Quota lease write has an unknown outcome", "account", c.New.Key.Account, "err", err)
	return SwapUnknown
}

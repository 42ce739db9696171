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
	storeTimeout = 2 * time.Second
	storeWorkers = 32
	swapQueue    = 4096
	closeTimeout = 5 * time.Second
)

// Sender is what Runner needs of peer.Sender.
type Sender interface {
	Send(to ident.Instance, message peer.Message)
}

// Runner runs a Quota against the table service and the peers of a process,
// and keeps the Authenticator of the document in force.
type Runner struct {
	env    ident.Environment
	leases store.Leases
	sender Sender
	events *event.Log
	clock  func() time.Time
	timing Timing
	rank   Rank
	seed   uint64

	book      *Authenticator
	quota     *Quota
	admission *Admission
	inbox     *inbox
	swaps     chan SwapLease
	reads     chan struct{}
	group     *tasks.Group
	done      chan struct{} // closed once stopped and idle

	mu      sync.Mutex // guards version, off the request path
	version ident.Version
}

// RunnerOption changes a Runner before it starts.
type RunnerOption func(*Runner)

// WithLease sets the length of quota leases.
func WithLease(length time.Duration) RunnerOption {
	return func(k *Runner) { k.timing = DefaultTiming(length) }
}

// WithTiming sets every span.
func WithTiming(timing Timing) RunnerOption { return func(k *Runner) { k.timing = timing } }

// WithRank sets how instances are preferred for parts. It must be the same on
// every instance.
func WithRank(rank Rank) RunnerOption { return func(k *Runner) { k.rank = rank } }

// WithClock sets the clock.
func WithClock(clock func() time.Time) RunnerOption { return func(k *Runner) { k.clock = clock } }

// WithSeed makes nonces and jitter repeatable, for tests.
func WithSeed(seed uint64) RunnerOption { return func(k *Runner) { k.seed = seed } }

// NewRunner returns a keeper that holds nothing until Start. Events may be
// nil.
func NewRunner(self ident.Instance, env ident.Environment, leases store.Leases, sender Sender, events *event.Log, options ...RunnerOption) *Runner {
	k := &Runner{
		env: env, leases: leases, sender: sender, events: events,
		clock: time.Now, timing: DefaultTiming(DefaultLease), rank: RankByHash, seed: rand.Uint64(),
		book: NewAuthenticator(), inbox: newInbox(),
		swaps: make(chan SwapLease, swapQueue), reads: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, o := range options {
		o(k)
	}
	random := rand.New(rand.NewPCG(k.seed, mix(k.seed)))
	k.quota = NewQuota(self, k.timing, k.rank, random, k.clock())
	k.admission = NewAdmission(k.book, k.quota.Limiter(), k.inbox.wake, k.clock)
	return k
}

// Admission returns the gate for the request path.
func (k *Runner) Admission() *Admission { return k.admission }

// Authenticator returns the book, to be told whether the document may be
// trusted.
func (k *Runner) Authenticator() *Authenticator { return k.book }

// SetDocument puts a document in force. Keys and routes change at once. A
// lower version than the one in force is ignored.
func (k *Runner) SetDocument(document *envdoc.Document, version ident.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version < k.version {
		return
	}
	k.version = version
	k.book.Set(document)
	k.inbox.put(AccountsChanged{Version: version, Accounts: document.Accounts})
}

// SetPeers names the live instances.
func (k *Runner) SetPeers(live []ident.Instance) { k.inbox.put(LiveChanged{Live: live}) }

// Receive takes a message of a peer. Messages that are not about tokens are
// skipped; when too many wait, they are dropped. It does not block.
func (k *Runner) Receive(from ident.Instance, message peer.Message, _ time.Time) {
	switch m := message.(type) {
	case peer.TokenRequest:
		k.inbox.offer(AskReceived{From: from, Ask: m})
	case peer.TokenLoan:
		k.inbox.offer(GiveReceived{From: from, Give: m})
	case peer.LeaseRequest:
		k.inbox.offer(WitnessAsked{From: from, Ask: m})
	case peer.LeasePromise:
		k.inbox.offer(WitnessAnswered{From: from, Hold: m})
	}
}

// Start runs the keeper until Close. When ctx ends first, the leases are not
// released but lapse.
func (k *Runner) Start(ctx context.Context) {
	k.group = tasks.New(ctx)
	k.group.Go(k.decide)
	k.group.Go(k.readRows)
	for range storeWorkers {
		k.group.Go(k.swapRows)
	}
}

// Close releases every part, for a bounded time, and waits for everything
// that the keeper started.
func (k *Runner) Close() error {
	if k.group == nil {
		return nil
	}
	k.inbox.put(StopRequested{})
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-k.done:
	case <-timer.C:
		klog.InfoS("Quota leases were not released in time; they lapse by themselves")
	case <-k.group.Context().Done():
	}
	return errors.Wrap(k.group.Close(), "close quota keeper")
}

// decide feeds the quota and hands out its commands.
func (k *Runner) decide(ctx context.Context) error {
	ticker := time.NewTicker(TickEvery)
	defer ticker.Stop()
	stopped := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.update(Tick{})
		case <-k.inbox.signal:
			for _, m := range k.inbox.take() {
				_, stop := m.(StopRequested)
				stopped = stopped || stop
				k.update(m)
			}
		}
		if stopped && k.quota.Idle() {
			close(k.done)
			return nil
		}
	}
}

func (k *Runner) update(m Msg) {
	now := k.clock()
	for _, c := range k.quota.Update(m, now) {
		k.run(c, now)
	}
}

func (k *Runner) run(c Cmd, now time.Time) {
	switch c := c.(type) {
	case SwapLease:
		select {
		case k.swaps <- c:
		default:
			k.inbox.put(SwapDone{Fresh: c.Fresh, Result: SwapConflict})
		}
	case ReadLeases:
		k.reads <- struct{}{} // Quota has one read in flight at most
	case SendPeer:
		k.sender.Send(c.To, c.Message)
	case Record:
		k.record(c, now)
	}
}

func (k *Runner) record(r Record, now time.Time) {
	klog.V(1).InfoS("Quota", "kind", r.Kind, "account", r.Account, "peer", r.Peer)
	count(r.Kind)
	if k.events != nil {
		k.events.Emit(now, r.Kind, event.Subject{Account: r.Account, Peer: r.Peer}, event.Ref{}, r.Note)
	}
}

func (k *Runner) readRows(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.reads:
			k.inbox.put(k.readOnce(ctx))
		}
	}
}

func (k *Runner) readOnce(ctx context.Context) Msg {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := k.clock()
	rows, err := k.leases.All(ctx, k.env)
	if err != nil {
		klog.V(1).InfoS("Quota leases were not read", "err", err)
		return ReadFailed{}
	}
	return LeasesRead{Began: began, Rows: rows}
}

func (k *Runner) swapRows(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-k.swaps:
			k.inbox.put(SwapDone{Fresh: c.Fresh, Result: k.swapOnce(ctx, c)})
		}
	}
}

func (k *Runner) swapOnce(ctx context.Context, c SwapLease) SwapResult {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := k.leases.Swap(ctx, k.env, c.Old, c.Fresh)
	switch {
	case err == nil:
		return SwapOK
	case errors.Is(err, store.ErrConflict):
		return SwapConflict
	}
	klog.V(1).InfoS("Quota lease write gave no answer", "account", c.Fresh.Key.Account, "err", err)
	return SwapUnknown
}

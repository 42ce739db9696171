package acct

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// TickEvery is how often Quota wants a Tick.
const TickEvery = 20 * time.Millisecond

// Timing holds the spans by which Quota decides.
type Timing struct {
	Lease      time.Duration // how long a holder may spend after a renewal
	Renew      time.Duration // between renewals
	Retry      time.Duration // between writes of one row that fail
	Poll       time.Duration // between reads of all rows
	ClaimStep  time.Duration // between instances that would claim a free part
	MoveAfter  time.Duration // of a steady live list before a part moves
	Loan       time.Duration // longest loan of tokens
	Promise    time.Duration // for which a witness leaves a lease to its holder; the same on every instance
	AskTimeout time.Duration // after which a peer's answer comes too late
	Stock      time.Duration // of demand that an instance keeps in tokens
}

// DefaultTiming returns the spans for a lease length. A part is renewed twelve
// times in its length, so that a lease outlives a store outage of eleven
// twelfths of it.
func DefaultTiming(lease time.Duration) Timing {
	return Timing{
		Lease:      lease,
		Renew:      lease / 12,
		Retry:      min(lease/24, 5*time.Second),
		Poll:       min(lease/12, 2*time.Second),
		ClaimStep:  2 * time.Second,
		MoveAfter:  15 * time.Second,
		Loan:       time.Second,
		Promise:    min(lease, DefaultPromise),
		AskTimeout: 200 * time.Millisecond,
		Stock:      100 * time.Millisecond,
	}
}

// DefaultPromise is how soon, about, the parts of a crashed instance are taken.
const DefaultPromise = 8 * time.Second

// DefaultLease outlives a store outage of ten minutes.
const DefaultLease = 12 * time.Minute

// Quota decides which parts of the client accounts' quotas this instance
// holds, and what it lends and borrows. Its invariant, over all instances:
// an account's requests are admitted at most Rate x T + Burst times in any
// time T. Update is its only entry; the tokens themselves are spent through
// Limiter, at the same time and without a lock. Quota does no I/O.
type Quota struct {
	self    ident.Instance
	timing  Timing
	rank    Rank
	random  *rand.Rand
	limiter *Limiter

	version  ident.Version
	ledgers  map[ident.Account]*ledger
	order    []ident.Account
	live     []ident.Instance
	liveFrom time.Time // since when the live list is as it is

	witnesses map[ident.Instance]*witness  // of the parts held here
	promised  map[ident.Instance]time.Time // last promise to each holder

	stopping bool
	reading  bool
	nextRead time.Time
	lastRead time.Time // when the last successful read arrived
	lastTick time.Time
	touched  []*ledger
	cmds     []Cmd
}

// NewQuota returns a quota that holds nothing. Base is any earlier time of the
// process's clock; random drives nonces and jitter.
func NewQuota(self ident.Instance, timing Timing, rank Rank, random *rand.Rand, base time.Time) *Quota {
	return &Quota{
		self:    self,
		timing:  timing,
		rank:    rank,
		random:  random,
		limiter: newLimiter(base),
		ledgers: make(map[ident.Account]*ledger),
		live:    []ident.Instance{self},

		witnesses: make(map[ident.Instance]*witness),
		promised:  make(map[ident.Instance]time.Time),
	}
}

// Limiter returns the part that the request path uses.
func (q *Quota) Limiter() *Limiter { return q.limiter }

// Idle reports whether no part is held and no write is in flight, as after a
// stop.
func (q *Quota) Idle() bool {
	for _, l := range q.ledgers {
		for _, s := range l.shares {
			if s.mine() || s.pending != 0 {
				return false
			}
		}
	}
	return true
}

// Update takes one input and returns what is to be done, in order.
func (q *Quota) Update(msg Msg, now time.Time) []Cmd {
	q.cmds = nil
	switch m := msg.(type) {
	case Tick:
		q.tick(now)
	case LeasesRead:
		q.read(m, now)
	case ReadFailed:
		q.reading = false
		q.nextRead = now.Add(q.jitter(q.timing.Poll))
	case SwapDone:
		q.swapped(m, now)
	case LiveChanged:
		q.setLive(m.Live, now)
	case AccountsChanged:
		q.setAccounts(m, now)
	case AskReceived:
		q.asked(m, now)
	case GiveReceived:
		q.given(m, now)
	case WitnessAsked:
		q.witnessAsked(m, now)
	case WitnessAnswered:
		q.witnessAnswered(m, now)
	case TokensShort:
		q.helpShort(now)
	case StopRequested:
		q.stop(now)
	}
	q.publish(now)
	return q.cmds
}

func (q *Quota) do(c Cmd) { q.cmds = append(q.cmds, c) }

// jitter returns a random span from three quarters of d to five quarters.
func (q *Quota) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(q.random.Int64N(int64(d/2)+1))
}

func (q *Quota) tick(now time.Time) {
	if !q.reading && !now.Before(q.nextRead) {
		q.readSoon(now)
	}
	for _, a := range q.order {
		l := q.ledgers[a]
		q.keepLeases(l, now)
		q.keepGrants(l, now)
		l.measure(now.Sub(q.lastTick))
		q.borrow(l, now)
	}
	q.keepWitnesses(now)
	q.lastTick = now
}

// helpShort borrows for the accounts of which a request found no token.
func (q *Quota) helpShort(now time.Time) {
	for _, a := range q.order {
		if l := q.ledgers[a]; l.limit.short.Swap(false) {
			q.borrow(l, now)
		}
	}
}

func (q *Quota) readSoon(now time.Time) {
	if q.reading {
		q.nextRead = now
		return
	}
	q.reading = true
	q.nextRead = now.Add(q.jitter(q.timing.Poll))
	q.do(ReadLeases{})
}

func (q *Quota) setLive(live []ident.Instance, now time.Time) {
	live = slices.Clone(live)
	if !slices.Contains(live, q.self) {
		live = append(live, q.self)
	}
	slices.Sort(live)
	live = slices.Compact(live)
	if slices.Equal(live, q.live) {
		return
	}
	q.live = live
	q.liveFrom = now
	for _, l := range q.ledgers {
		l.placement = place(l.account, l.cut.parts, live, q.rank)
	}
}

func (q *Quota) setAccounts(m AccountsChanged, now time.Time) {
	if m.Version < q.version {
		return
	}
	q.version = m.Version
	seen := make(map[ident.Account]bool, len(m.Accounts))
	for _, a := range m.Accounts {
		seen[a.Name] = true
		q.recut(q.ledger(a.Name), newCut(a.Rate, a.Burst), now)
	}
	for _, a := range q.order {
		if !seen[a] {
			q.recut(q.ledgers[a], cut{}, now)
		}
	}
	q.publishTable(m.Accounts)
}

// ledger returns the ledger of an account, a new one if there is none.
func (q *Quota) ledger(account ident.Account) *ledger {
	l := q.ledgers[account]
	if l != nil {
		return l
	}
	l = newLedger(account)
	q.ledgers[account] = l
	q.order = append(q.order, account)
	slices.Sort(q.order)
	return l
}

// recut puts another division of an account in force. Parts of a cut into as
// many parts grow or shrink in place, with the tokens they have; parts of
// another number are given up, and the new ones start once none of the old is
// held anywhere.
func (q *Quota) recut(l *ledger, c cut, now time.Time) {
	if l.cut == c {
		return
	}
	if l.cut != (cut{}) {
		q.do(Record{Kind: QuotaRecut, Account: l.account})
	}
	l.cut = c
	l.placement = place(l.account, c.parts, q.live, q.rank)
	for _, s := range l.shares {
		if !s.mine() {
			continue
		}
		if partsOf(s.key.Part) == c.parts {
			q.resize(l, s, now)
			continue
		}
		q.leave(l, s, now)
	}
	for i := range c.parts {
		l.share(store.LeaseKey{Account: l.account, Part: c.part(i)}, now)
	}
	q.touch(l)
}

func (q *Quota) resize(l *ledger, s *share, now time.Time) {
	at := q.limiter.at(now)
	open := s.bucket.isOpen()
	level := s.bucket.close(at)
	b := l.bucket(s)
	b.limit.Store(b.full - s.lent())
	b.end.Store(q.limiter.at(s.end))
	if open {
		b.open(level, at)
	}
	s.bucket = b
	q.touch(l)
}

func (q *Quota) stop(now time.Time) {
	q.stopping = true
	for _, a := range q.order {
		l := q.ledgers[a]
		for _, s := range l.shares {
			if s.mine() {
				q.leave(l, s, now)
			}
		}
		q.keepGrants(l, now)
		q.keepLeases(l, now)
	}
}

// publish puts changed supplies in force on the request path.
func (q *Quota) publish(now time.Time) {
	for _, l := range q.touched {
		l.dirty = false
		l.limit.replace(l.supply(now))
	}
	q.touched = q.touched[:0]
}

// touch notes that the account's supply has changed.
func (q *Quota) touch(l *ledger) {
	if !l.dirty {
		l.dirty = true
		q.touched = append(q.touched, l)
	}
}

// publishTable names the accounts that may spend at all.
func (q *Quota) publishTable(accounts []envdoc.Account) {
	table := make(map[ident.Account]*limit, len(accounts))
	for _, a := range accounts {
		table[a.Name] = q.ledgers[a.Name].limit
	}
	q.limiter.limits.Store(&table)
}

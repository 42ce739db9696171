package acct

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

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
	nextKeep time.Time // when leases are looked after again
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
	upkeep := !now.Before(q.nextKeep)
	for _, a := range q.order {
		l := q.ledgers[a]
		if upkeep {
			q.keepLeases(l, now)
		}
		q.keepGrants(l, now)
		q.note(l, now)
		l.measure(now.Sub(q.lastTick))
		q.borrow(l, now)
	}
	if upkeep {
		q.keepWitnesses(now)
		q.nextKeep = now.Add(keepEvery)
	}
	q.lastTick = now
}

// note records that requests of the account are refused.
func (q *Quota) note(l *ledger, now time.Time) {
	if l.limit.refused.Load() == l.refused || now.Sub(l.noted) < noteEvery {
		return
	}
	l.noted = now
	q.do(Record{Kind: QuotaUsedUp, Account: l.account})
}

// helpShort borrows for the accounts of which a request found no token or took
// the last one of a grant.
func (q *Quota) helpShort(now time.Time) {
	for _, a := range q.order {
		if l := q.ledgers[a]; l.limit.short.Swap(false) {
			q.borrow(l, now)
			q.keepGrants(l, now)
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

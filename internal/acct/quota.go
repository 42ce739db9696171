package acct

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Quota decides which parts of the client accounts' quotas this instance holds,
// and which tokens it lends and borrows. Its invariant, over all instances: an
// account's requests are admitted at most Rate x T + Burst times in any time T.
// All inputs go through Update; requests spend the tokens concurrently through
// Limiter, without a lock. Quota does no I/O.
type Quota struct {
	self    ident.Instance
	timing  Timing
	rank    Rank
	random  *rand.Rand
	limiter *Limiter

	version      ident.Version
	accounts     map[ident.Account]*accountState
	accountNames []ident.Account
	live         []ident.Instance
	liveSince    time.Time // when the live list last changed

	witnesses    map[ident.Instance]*witness  // of the parts held here
	avoidedUntil map[ident.Instance]time.Time // not chosen as witnesses until then
	promisedAt   map[ident.Instance]time.Time // when each holder was last sent a promise

	stopping        bool
	reading         bool
	nextMaintenance time.Time // of the leases
	nextRead        time.Time
	lastRead        time.Time // when the last successful read arrived
	lastTick        time.Time
	changed         []*accountState // accounts with token sources to publish
	cmds            []Cmd           // of the current Update
}

// NewQuota returns a Quota that holds no leases. base is any earlier time of
// the process's clock; random generates nonces and jitter.
func NewQuota(self ident.Instance, timing Timing, rank Rank, random *rand.Rand, base time.Time) *Quota {
	return &Quota{
		self:     self,
		timing:   timing,
		rank:     rank,
		random:   random,
		limiter:  newLimiter(base),
		accounts: make(map[ident.Account]*accountState),
		live:     []ident.Instance{self},

		witnesses:    make(map[ident.Instance]*witness),
		avoidedUntil: make(map[ident.Instance]time.Time),
		promisedAt:   make(map[ident.Instance]time.Time),
	}
}

// Limiter returns the limiter for the request path.
func (q *Quota) Limiter() *Limiter { return q.limiter }

// Idle reports whether no part is held and no write is in flight, as after
// StopRequested has been carried out.
func (q *Quota) Idle() bool {
	for _, st := range q.accounts {
		for _, s := range st.parts {
			if s.held() || s.pendingRenewal != 0 {
				return false
			}
		}
	}
	return true
}

// Update handles one input and returns the commands to execute, in order.
func (q *Quota) Update(msg Msg, now time.Time) []Cmd {
	q.cmds = nil
	switch m := msg.(type) {
	case Tick:
		q.tick(now)
	case LeasesRead:
		q.handleLeasesRead(m, now)
	case ReadFailed:
		q.reading = false
		q.nextRead = now.Add(q.jitter(q.timing.Poll))
	case SwapDone:
		q.handleSwapDone(m, now)
	case LiveChanged:
		q.setLive(m.Live, now)
	case AccountsChanged:
		q.setAccounts(m, now)
	case TokenRequestReceived:
		q.handleTokenRequest(m, now)
	case TokenLoanReceived:
		q.handleTokenLoan(m, now)
	case LeaseRequestReceived:
		q.handleLeaseRequest(m, now)
	case LeasePromiseReceived:
		q.handleLeasePromise(m, now)
	case TokensShort:
		q.handleShortage(now)
	case StopRequested:
		q.stop(now)
	}
	q.publishSources(now)
	return q.cmds
}

func (q *Quota) emit(c Cmd) { q.cmds = append(q.cmds, c) }

// jitter returns a random duration between three and five quarters of d.
func (q *Quota) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(q.random.Int64N(int64(d/2)+1))
}

func (q *Quota) tick(now time.Time) {
	if !q.reading && !now.Before(q.nextRead) {
		q.requestRead(now)
	}
	maintenanceDue := !now.Before(q.nextMaintenance)
	for _, a := range q.accountNames {
		st := q.accounts[a]
		if maintenanceDue {
			q.maintainLeases(st, now)
		}
		q.maintainBorrowed(st, now)
		q.recordRefusals(st, now)
		st.measureDemand(now.Sub(q.lastTick))
		q.borrow(st, now)
	}
	if maintenanceDue {
		q.requestPromises(now)
		q.nextMaintenance = now.Add(maintenanceInterval)
	}
	q.lastTick = now
}

// recordRefusals records that requests of the account are refused, at most once
// per refusalRecordInterval.
func (q *Quota) recordRefusals(st *accountState, now time.Time) {
	if st.limit.refused.Load() == st.lastRefused || now.Sub(st.refusalsRecordedAt) < refusalRecordInterval {
		return
	}
	st.refusalsRecordedAt = now
	q.emit(Record{Kind: QuotaUsedUp, Account: st.account})
}

// handleShortage borrows tokens for each account for which a request found no
// token or took the last token of a loan.
func (q *Quota) handleShortage(now time.Time) {
	for _, a := range q.accountNames {
		if st := q.accounts[a]; st.limit.shortage.Swap(false) {
			q.borrow(st, now)
			q.maintainBorrowed(st, now)
		}
	}
}

// requestRead starts a read of the leases. If one is in progress, the next one
// follows as soon as it has succeeded.
func (q *Quota) requestRead(now time.Time) {
	if q.reading {
		q.nextRead = now
		return
	}
	q.reading = true
	q.nextRead = now.Add(q.jitter(q.timing.Poll))
	q.emit(ReadLeases{})
}

// setLive replaces the live instances, which always include this one, and ranks
// them for each part again.
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
	q.liveSince = now
	for _, st := range q.accounts {
		st.placement = newPlacement(st.account, st.division.parts, live, q.rank)
	}
	q.forgetDeparted(now)
}

// forgetDeparted drops state about instances that left, once it is no longer
// needed.
func (q *Quota) forgetDeparted(now time.Time) {
	departed := func(id ident.Instance) bool { return !slices.Contains(q.live, id) }
	maps.DeleteFunc(q.promisedAt, func(id ident.Instance, at time.Time) bool {
		return departed(id) && now.Sub(at) > 2*q.timing.Promise
	})
	maps.DeleteFunc(q.avoidedUntil, func(_ ident.Instance, until time.Time) bool { return now.After(until) })
	for _, st := range q.accounts {
		maps.DeleteFunc(st.lenders, func(id ident.Instance, _ *lenderState) bool { return departed(id) })
	}
}

// setAccounts applies the rates and bursts of a document. An account that the
// document lacks is divided into no parts.
func (q *Quota) setAccounts(m AccountsChanged, now time.Time) {
	if m.Version < q.version {
		return
	}
	q.version = m.Version
	seen := make(map[ident.Account]bool, len(m.Accounts))
	for _, a := range m.Accounts {
		seen[a.Name] = true
		q.redivide(q.account(a.Name), newDivision(a.Rate, a.Burst), now)
	}
	for _, a := range q.accountNames {
		if !seen[a] {
			q.redivide(q.accounts[a], division{}, now)
		}
	}
	q.publishLimits(m.Accounts)
}

// account returns the state of an account, creating it if there is none.
func (q *Quota) account(account ident.Account) *accountState {
	st := q.accounts[account]
	if st != nil {
		return st
	}
	st = newAccountState(account)
	q.accounts[account] = st
	q.accountNames = append(q.accountNames, account)
	slices.Sort(q.accountNames)
	return st
}

// stop begins to release every part that is held here.
func (q *Quota) stop(now time.Time) {
	q.stopping = true
	for _, a := range q.accountNames {
		st := q.accounts[a]
		for _, s := range st.parts {
			if s.held() {
				q.beginRelease(st, s, now)
			}
		}
		q.maintainBorrowed(st, now)
		q.maintainLeases(st, now)
	}
}

// publishSources makes changed token sources visible to requests.
func (q *Quota) publishSources(now time.Time) {
	for _, st := range q.changed {
		st.changed = false
		st.limit.replaceSources(st.sources(now))
	}
	q.changed = q.changed[:0]
}

// markChanged marks the account's token sources as changed.
func (q *Quota) markChanged(st *accountState) {
	if !st.changed {
		st.changed = true
		q.changed = append(q.changed, st)
	}
}

// publishLimits replaces the set of accounts whose requests may spend tokens.
func (q *Quota) publishLimits(accounts []envdoc.Account) {
	table := make(map[ident.Account]*accountLimit, len(accounts))
	for _, a := range accounts {
		table[a.Name] = q.accounts[a.Name].limit
	}
	q.limiter.limits.Store(&table)
}

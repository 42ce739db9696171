package acct

import "time"

// TickEvery is how often Quota wants a Tick.
const TickEvery = 20 * time.Millisecond

// keepEvery is how often leases are renewed, claimed and released.
const keepEvery = 100 * time.Millisecond

// noteEvery is how often refusals of one account are recorded.
const noteEvery = 10 * time.Second

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
const DefaultPromise = 4 * time.Second

// DefaultLease outlives a store outage of ten minutes.
const DefaultLease = 12 * time.Minute

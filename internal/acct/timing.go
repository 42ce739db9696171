package acct

import "time"

// TickInterval is the interval at which Quota expects a Tick.
const TickInterval = 20 * time.Millisecond

// maintenanceInterval is the interval at which leases are renewed, claimed and
// released.
const maintenanceInterval = 100 * time.Millisecond

// refusalRecordInterval is the minimum time between two records of refusals of
// one account.
const refusalRecordInterval = 10 * time.Second

// Timing holds the durations that Quota uses.
type Timing struct {
	Lease          time.Duration // how long a holder may spend after a renewal
	Renew          time.Duration // between renewals
	Retry          time.Duration // after a failed write of a row
	Poll           time.Duration // between reads of all rows
	ClaimStagger   time.Duration // between instances that may claim a free part
	RebalanceAfter time.Duration // with an unchanged live list before a part moves
	Loan           time.Duration // longest loan of tokens
	Promise        time.Duration // for which a witness leaves a lease to its holder; the same on every instance
	RequestTimeout time.Duration // after which a peer's reply comes too late
	Reserve        time.Duration // of demand for which an instance keeps tokens available
}

// DefaultTiming returns the durations for a lease length. A part is renewed
// twelve times per lease, so that a lease outlives a store outage of eleven
// twelfths of its length.
func DefaultTiming(lease time.Duration) Timing {
	return Timing{
		Lease:          lease,
		Renew:          lease / 12,
		Retry:          min(lease/24, 5*time.Second),
		Poll:           min(lease/12, 2*time.Second),
		ClaimStagger:   2 * time.Second,
		RebalanceAfter: 15 * time.Second,
		Loan:           time.Second,
		Promise:        min(lease, DefaultPromise),
		RequestTimeout: 200 * time.Millisecond,
		Reserve:        100 * time.Millisecond,
	}
}

// DefaultPromise is roughly how soon the parts of a crashed instance are
// claimed by others.
const DefaultPromise = 4 * time.Second

// DefaultLease outlives a store outage of ten minutes.
const DefaultLease = 12 * time.Minute

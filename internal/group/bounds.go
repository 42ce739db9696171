package group

import "time"

// Bounds are the times and counts by which Elector decides.
type Bounds struct {
	// Watchers is how many instances, by rank, probe often.
	Watchers int
	// ProbeEvery is the interval of the watchers' probes, and of every
	// instance's while it misses the primary.
	ProbeEvery time.Duration
	// ProbeSlowly is the interval of the other instances' probes.
	ProbeSlowly time.Duration
	// CallTimeout bounds each call of a Server.
	CallTimeout time.Duration
	// LostAfter and LostCount are the time without an answer and the failed
	// probes in a row after which this instance misses the primary.
	LostAfter time.Duration
	LostCount int
	// RefusedAfter takes the place of LostAfter when the failed probes were
	// refused a connection: nobody listens at the endpoint's address.
	RefusedAfter time.Duration
	// Unheard is the silence of the primary that makes a replica's answer
	// count as a loss.
	Unheard time.Duration
	// RefusedUnheard takes the place of Unheard while the primary refuses
	// connections.
	RefusedUnheard time.Duration
	// VoteFresh is how old a replica's answer may be to count.
	VoteFresh time.Duration
	// TakeoverStep is the delay that each place in the rank adds before an
	// instance acts.
	TakeoverStep time.Duration
	// StuckAfter is how long a sealed term may stay without a primary before
	// another instance goes on.
	StuckAfter time.Duration
	// SealGrace is how long a planned change waits for more sealed servers
	// than a majority.
	SealGrace time.Duration
	// HandOverWait is how long a planned change waits for a replica that has
	// caught up.
	HandOverWait time.Duration
	// Backoff is the base of the delay after a failed attempt.
	Backoff time.Duration
	// MaxBackoff bounds that delay.
	MaxBackoff time.Duration
	// FollowEvery is the shortest interval between two Follow commands to
	// one endpoint.
	FollowEvery time.Duration
	// FollowAgain is how long a replica of the current term hears nothing
	// before it is told to follow once more.
	FollowAgain time.Duration
}

// DefaultBounds suit data centres that are a few milliseconds apart.
func DefaultBounds() Bounds {
	return Bounds{
		Watchers:       2,
		ProbeEvery:     100 * time.Millisecond,
		ProbeSlowly:    time.Second,
		CallTimeout:    150 * time.Millisecond,
		LostAfter:      400 * time.Millisecond,
		LostCount:      2,
		RefusedAfter:   100 * time.Millisecond,
		Unheard:        300 * time.Millisecond,
		RefusedUnheard: 120 * time.Millisecond,
		VoteFresh:      350 * time.Millisecond,
		TakeoverStep:   500 * time.Millisecond,
		StuckAfter:     500 * time.Millisecond,
		SealGrace:      50 * time.Millisecond,
		HandOverWait:   time.Second,
		Backoff:        100 * time.Millisecond,
		MaxBackoff:     2 * time.Second,
		FollowEvery:    200 * time.Millisecond,
		FollowAgain:    3 * time.Second,
	}
}

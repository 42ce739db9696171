package group

import "time"

// Bounds are the durations and counts that control the decisions of Elector.
type Bounds struct {
	// FrequentProbers is how many instances, first in rank, probe at
	// ProbeEvery; the others probe at ProbeSlowly.
	FrequentProbers int
	// ProbeEvery is the interval between probes of the instances that are
	// first in rank, and of every instance while the group looks degraded.
	ProbeEvery time.Duration
	// ProbeSlowly is the interval between probes of the other instances.
	ProbeSlowly time.Duration
	// CallTimeout bounds each call of a Server.
	CallTimeout time.Duration
	// LostAfter and LostCount are the time without an answer and the number
	// of consecutive failed probes after which this instance considers the
	// primary unresponsive. Both have to be reached.
	LostAfter time.Duration
	LostCount int
	// RefusedAfter replaces LostAfter when the endpoint's address refused
	// the connections of the failed probes: no process listens there.
	RefusedAfter time.Duration
	// SilentAfter is how long a replica must have received nothing from the
	// primary for its answer to count as a vote that the primary is lost.
	SilentAfter time.Duration
	// RefusedSilentAfter replaces SilentAfter while the primary's address
	// refuses connections.
	RefusedSilentAfter time.Duration
	// VoteFresh is the age up to which a server's answer counts as a vote.
	VoteFresh time.Duration
	// TakeoverStep is the delay before an instance acts, multiplied by its
	// rank from 0.
	TakeoverStep time.Duration
	// StuckAfter is how long a sealed term may stay without a primary before
	// another instance starts an attempt of its own.
	StuckAfter time.Duration
	// SealGrace is how long an attempt waits for further servers to seal
	// once a majority has, while a better candidate may still reply.
	SealGrace time.Duration
	// HandOverWait is how long a planned hand-over waits for a replica that
	// has caught up.
	HandOverWait time.Duration
	// Backoff is the delay after the first failed attempt. It doubles with
	// each further one.
	Backoff time.Duration
	// MaxBackoff bounds that delay before jitter, which at most doubles it.
	MaxBackoff time.Duration
	// FollowEvery is the shortest interval between two Follow commands to
	// one endpoint.
	FollowEvery time.Duration
	// FollowAgain is how long a replica of the current term may receive
	// nothing from the primary before it is sent another Follow.
	FollowAgain time.Duration
}

// DefaultBounds returns bounds that suit data centres a few milliseconds
// apart.
func DefaultBounds() Bounds {
	return Bounds{
		FrequentProbers:    2,
		ProbeEvery:         100 * time.Millisecond,
		ProbeSlowly:        time.Second,
		CallTimeout:        150 * time.Millisecond,
		LostAfter:          400 * time.Millisecond,
		LostCount:          2,
		RefusedAfter:       100 * time.Millisecond,
		SilentAfter:        300 * time.Millisecond,
		RefusedSilentAfter: 120 * time.Millisecond,
		VoteFresh:          350 * time.Millisecond,
		TakeoverStep:       500 * time.Millisecond,
		StuckAfter:         500 * time.Millisecond,
		SealGrace:          50 * time.Millisecond,
		HandOverWait:       time.Second,
		Backoff:            100 * time.Millisecond,
		MaxBackoff:         2 * time.Second,
		FollowEvery:        200 * time.Millisecond,
		FollowAgain:        3 * time.Second,
	}
}

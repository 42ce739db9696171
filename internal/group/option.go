package group

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Option configures a Monitor.
type Option func(*Monitor)

// WithBounds replaces the default durations and counts of the Elector.
func WithBounds(bounds Bounds) Option {
	return func(m *Monitor) { m.bounds = bounds }
}

// WithProbeInterval sets the interval between probes of the instances that are
// first in rank. See Bounds.ProbeEvery.
func WithProbeInterval(every time.Duration) Option {
	return func(m *Monitor) { m.bounds.ProbeEvery = every }
}

// WithEvents records the steps of each change of primary in log.
func WithEvents(log *event.Log) Option {
	return func(m *Monitor) { m.events = log }
}

// WithPeers broadcasts each new primary to the other instances.
func WithPeers(sender peer.Sender) Option {
	return func(m *Monitor) { m.peers = sender }
}

// WithPromoted calls f, in a goroutine of the Monitor, after this instance has
// promoted an endpoint. It is used to store the term record for operators.
// Close waits for f to return.
func WithPromoted(f PromotedFunc) Option {
	return func(m *Monitor) { m.promoted = f }
}

// PromotedFunc is called after a promotion. See WithPromoted.
type PromotedFunc func(term ident.Term, primary ident.Endpoint)

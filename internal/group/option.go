package group

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Option changes a setting of a Monitor.
type Option func(*Monitor)

// WithBounds replaces the times and counts by which the Monitor decides.
func WithBounds(bounds Bounds) Option {
	return func(k *Monitor) { k.bounds = bounds }
}

// WithProbeInterval sets how often the watching instances probe.
func WithProbeInterval(every time.Duration) Option {
	return func(k *Monitor) { k.bounds.ProbeEvery = every }
}

// WithEvents sends the course of each change of primary to the time line.
func WithEvents(log *event.Log) Option {
	return func(k *Monitor) { k.events = log }
}

// WithPeers tells the peers at once who the primary is.
func WithPeers(sender peer.Sender) Option {
	return func(k *Monitor) { k.peers = sender }
}

// WithPromoted calls f, from a goroutine of the Monitor, after this instance
// promoted an endpoint; it serves to record the reign for operators. The
// context ends with Close.
func WithPromoted(f PromotedFunc) Option {
	return func(k *Monitor) { k.promoted = f }
}

// PromotedFunc takes note of a promotion. See WithPromoted.
type PromotedFunc func(term ident.Term, primary ident.Endpoint)

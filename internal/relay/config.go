package relay

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/fetch"
	"github.com/marjoramrudder/marjoramrudder/internal/lead"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// This file puts configurations in force and exchanges their texts with other
// instances.

// defaultConfigTime is the time within which a configuration has to be in force, if
// the settings name none.
const defaultConfigTime = 3 * time.Second

var (
	// configDelay is the time from when an instance learns of a version to when it
	// is in force there.
	configDelay    = metrics.NewHistogram("marjoram_config_delay_seconds")
	configVersion  = metrics.NewGauge("marjoram_config_version", nil)
	configNewest   = metrics.NewGauge("marjoram_config_newest_version", nil)
	configMissing  = metrics.NewGauge("marjoram_config_transfer_missing_bytes", nil)
	configUnusable = metrics.NewCounter("marjoram_config_unusable_total")
)

// SetConfig puts a configuration in force if it is newer, and reports whether the text
// can be used. One that can't is logged, and the configuration in force stays. source
// is logged.
func (n *Node) SetConfig(text []byte, source string) bool {
	c, err := n.config.Decode(text)
	if err != nil {
		trace.Failure("ConfigUnusable", err, "Source", source, "Bytes", len(text), "Kept", n.catalog.Load().Version)
		configUnusable.Inc()
		return false
	}
	now := clock.Now()
	n.mu.Lock()
	old := n.catalog.Load()
	if c.Version <= old.Version {
		n.mu.Unlock()
		return true
	}
	n.catalog.Store(c)
	behind := n.configFetch.BehindSince()
	n.configFetch.Received(now, c.Version, text)
	n.configHistory.Add(c.Version, text)
	n.applyLimits(c)
	n.mu.Unlock()
	var took time.Duration
	if !behind.IsZero() {
		took = now.Sub(behind)
	}
	configDelay.Update(took.Seconds())
	configVersion.Set(float64(c.Version))
	traceConfig(c, old, source, len(text), took)
	n.announceVersions()
	return true
}

// traceConfig logs a configuration that was put in force, its size in bytes and the
// time since this instance learned of it.
func traceConfig(c, old *engine.Catalog, source string, size int, took time.Duration) {
	d := c.ChangesFrom(old)
	trace.Event("ConfigInForce", "Version", c.Version, "Before", old.Version, "Source", source, "Bytes", size, "Took", took.String(),
		"Routes", len(c.Routes), "Accounts", len(c.Accounts),
		"RoutesAdded", d.RoutesAdded, "RoutesRemoved", d.RoutesRemoved, "RoutesChanged", d.RoutesChanged,
		"KeysAdded", d.KeysAdded, "KeysWithdrawn", d.KeysRevoked, "QuotasChanged", d.QuotasChanged)
}

// applyLimits updates the limits of every group. The caller holds the mutex.
func (n *Node) applyLimits(c *engine.Catalog) {
	weights := sched.Weights{Rates: c.AccountRates()}
	for g, limits := range c.Groups {
		r := n.runners[g]
		if r == nil {
			r = newGroupRunner(n.tasks.Context(), g, n)
			n.runners[g] = r
			r.setEndpoints(n.endpointsOf(g))
		}
		r.pool.Update(n.schedLimits(limits))
		r.pool.Update(weights)
		r.pool.SetIdleTx(c.IdleTx)
		r.update(lead.ReplicationRules{SyncReplicas: limits.SyncReplicas})
	}
}

// schedLimits returns the limits of a group's scheduler.
func (n *Node) schedLimits(limits engine.GroupLimits) sched.Limits {
	l := sched.Limits{MaxConns: limits.MaxConns, DrainTime: n.config.DrainTime, EvacuationTime: n.config.EvacuationTime}
	if n.config.ColdLimits {
		l.ColdRate, l.ColdTime = limits.ColdRate, limits.ColdTime
	}
	return l
}

// requestConfig requests the pieces of a newer configuration that are due.
func (n *Node) requestConfig(now time.Time) {
	n.mu.Lock()
	before, had := n.configFetch.Transfer(now)
	requests := n.configFetch.Requests(now)
	newest := max(n.configFetch.Newest(), n.catalog.Load().Version)
	n.mu.Unlock()
	configNewest.Set(float64(newest))
	configMissing.Set(float64(before.Size - before.Arrived))
	if had && len(requests) > 0 {
		traceStall(before)
	}
	n.sendRequests(requests)
}

func (n *Node) sendRequests(requests []fetch.Request) {
	for _, r := range requests {
		n.mesh.Offer(r.To, peer.DocumentRequest{Version: r.Version, Base: r.Base, Offset: r.Offset, Length: r.Length})
	}
}

// sendConfig replies to a request for a configuration. The piece may have to be
// computed, so it is not done by the goroutine that receives messages.
func (n *Node) sendConfig(to ident.Instance, m peer.DocumentRequest) {
	n.tasks.Go(func(context.Context) error {
		if m.Length == 0 { // an instance of an earlier version
			if version, text := n.configHistory.Text(); text != nil {
				n.mesh.Offer(to, peer.Document{Version: version, Text: text})
			}
			return nil
		}
		p, ok := n.configHistory.Piece(fetch.Request{Version: m.Version, Base: m.Base, Offset: m.Offset, Length: m.Length})
		if ok {
			n.mesh.Offer(to, peer.Document{
				Version: p.Version, Text: p.Bytes, Base: p.Base, Digest: p.Digest[:], Size: p.Size, Offset: p.Offset,
			})
		}
		return nil
	})
}

// receiveConfig takes a configuration or a piece of one from another instance.
func (n *Node) receiveConfig(from ident.Instance, m peer.Document) {
	if m.Size == 0 { // from an instance of an earlier version
		n.SetConfig(m.Text, string(from))
		return
	}
	now := clock.Now()
	p := fetch.Piece{Version: m.Version, Base: m.Base, Size: m.Size, Offset: m.Offset, Bytes: m.Text}
	copy(p.Digest[:], m.Digest)
	n.mu.Lock()
	text, more, err := n.configFetch.Receive(now, from, p)
	n.mu.Unlock()
	if err != nil {
		trace.Failure("ConfigTransferFailed", err, "Source", from, "Version", m.Version, "Base", m.Base)
	}
	n.sendRequests(more)
	if text != nil && !n.SetConfig(text, string(from)) {
		n.mu.Lock()
		n.configFetch.Unusable(m.Version)
		n.mu.Unlock()
	}
}

// traceStall logs a transfer that goes on at another source.
func traceStall(t fetch.Transfer) {
	trace.Event("ConfigTransferStalled", "Source", t.Source, "Version", t.Version, "Base", t.Base, "Size", t.Size, "Arrived", t.Arrived, "Took", t.Took.String())
}

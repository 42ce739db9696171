package fleet

import (
	"context"
	"math"
	"time"

	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// loop passes inputs to Members and DocumentTracker and executes their
// commands.
func (f *Fleet) loop(ctx context.Context) error {
	t := time.NewTicker(f.options.tick)
	defer t.Stop()
	f.update(f.tick())
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-f.inbox:
			f.update(m)
		case <-t.C:
			f.update(f.tick())
		}
	}
}

func (f *Fleet) tick() Tick { return Tick{Connected: f.deps.Mesh.Connected()} }

func (f *Fleet) update(m Msg) {
	now := time.Now()
	for _, c := range f.members.Update(m, now) {
		f.execute(c, now)
	}
	for _, c := range f.tracker.Update(m, now) {
		f.execute(c, now)
	}
	f.publish(m, now)
}

func (f *Fleet) publish(m Msg, now time.Time) {
	until := int64(math.MinInt64)
	if u := f.tracker.TrustedUntil(); !u.IsZero() {
		until = int64(u.Sub(f.base))
	}
	f.trustedUntil.Store(until)
	if _, ok := m.(Tick); !ok {
		return
	}
	versions := f.tracker.Versions()
	f.versions.Store(&versions)
	f.stats.update(f, now)
}

func (f *Fleet) execute(c Cmd, now time.Time) {
	switch c := c.(type) {
	case Apply:
		f.applyDocument(c)
	case Record:
		f.record(c, now)
	case Prepared:
		f.waiters.complete(c.ID)
	case MembersChanged:
		f.membersChanged(c, now)
	case LiveChanged:
		f.live.Store(&c.Instances)
	case SendHead:
		c.Head.Stamp = f.deps.Log.Now(now)
		c.Head.Cause = f.lastRecords[DocumentApplied]
		f.deps.Mesh.Send(c.To, c.Head)
	case RequestText:
		f.deps.Mesh.Send(c.To, peer.DocumentRequest{Version: c.Version})
	case SendText:
		f.deps.Mesh.Send(c.To, peer.Document{Version: c.Version, Text: c.Text})
	default:
		f.executeStore(c)
	}
}

func (f *Fleet) applyDocument(c Apply) {
	apply := f.apply.Load()
	assert.That(apply != nil, "FleetHasApply", "no function set to apply version %d", c.Version)
	if apply != nil {
		(*apply)(c)
	}
	f.version.Store(uint64(c.Version))
	klog.InfoS("Document in force", "version", c.Version, "change", c.Change)
}

func (f *Fleet) membersChanged(c MembersChanged, now time.Time) {
	f.deps.Mesh.SetMembers(c.Members)
	names := make([]ident.Instance, len(c.Members))
	for i, n := range c.Members {
		names[i] = n.Instance
	}
	for _, next := range f.tracker.Update(KnownChanged{Instances: names}, now) {
		f.execute(next, now)
	}
}

// record adds a record with its cause to the event log.
func (f *Fleet) record(c Record, now time.Time) {
	subject := event.Subject{Peer: c.Peer}
	cause := c.Cause
	if cause == (event.Ref{}) {
		cause = f.lastRecords[c.CauseKind]
	}
	f.lastRecords[c.Kind] = f.deps.Log.Emit(now, c.Kind, subject, cause, c.Note)
	klog.V(1).InfoS("Fleet event", "kind", c.Kind, "peer", c.Peer, "note", c.Note)
}

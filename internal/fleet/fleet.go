package fleet

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// ErrNotAnnounced reports that a change must not be written, because fewer than
// half of the known instances could be informed of it. Nothing was written.
var ErrNotAnnounced = errors.New("fewer than half of the instances could be informed of the change")

// Mesh is the subset of peer.Mesh that a Fleet uses.
type Mesh interface {
	peer.Sender
	SetMembers(members []store.Member)
}

// Dependencies are the external systems that a Fleet uses.
type Dependencies struct {
	Documents store.Documents
	Members   store.Members
	Directory store.Directory // the platform's list of instances by name; may be nil
	Mesh      Mesh
	Log       *event.Log
	Parse     Parser
}

// Fleet runs Members and DocumentTracker for one instance. The methods that
// requests call take no lock.
type Fleet struct {
	self    store.Member
	env     ident.Environment
	deps    Dependencies
	options options
	stats   *stats
	group   *tasks.Group
	inbox   chan Msg
	started atomic.Bool

	base         time.Time
	trustedUntil atomic.Int64 // nanoseconds after base
	version      atomic.Uint64
	live         atomic.Pointer[[]ident.Instance]
	versions     atomic.Pointer[[]InstanceVersion]
	apply        atomic.Pointer[func(Apply)]

	waiters waiters

	// Only the loop goroutine accesses the following fields.
	members     *Members
	tracker     *DocumentTracker
	lastRecords map[event.Kind]event.Ref
}

// InstanceVersion is the version that an instance last reported as in force.
// Connected is false if that was too long ago for the instance to count as
// connected.
type InstanceVersion struct {
	Instance  ident.Instance
	Version   ident.Version
	Connected bool
}

// New returns the Fleet of the instance self, to be started by Start. The Start
// field of self must differ from those of earlier processes of the same
// instance.
func New(self store.Member, env ident.Environment, deps Dependencies, opts ...Option) *Fleet {
	f := &Fleet{
		self: self,
		env:  env,
		deps: deps,
		options: options{
			bounds:       DefaultBounds(),
			memberBounds: DefaultMemberBounds(),
			tick:         tickInterval,
		},
		stats:       newStats(),
		group:       tasks.New(context.Background()),
		inbox:       make(chan Msg, inboxSize),
		base:        time.Now(),
		lastRecords: make(map[event.Kind]event.Ref),
	}
	for _, o := range opts {
		o(&f.options)
	}
	f.trustedUntil.Store(math.MinInt64)
	f.live.Store(&[]ident.Instance{self.Instance})
	f.versions.Store(&[]InstanceVersion{})
	f.members = NewMembers(self, f.options.memberBounds)
	f.tracker = NewDocumentTracker(self.Instance, self.Start, deps.Parse, f.options.bounds, self.Start, f.base)
	return f
}

// Start starts polling, renewing the member row and answering peers.
func (f *Fleet) Start() {
	f.started.Store(true)
	f.group.Go(f.loop)
}

// SetApply sets the function that puts a document in force. It must be called
// before Start. The function is called from one goroutine with rising versions.
// Version and Trusted refer to a document only after the function has returned.
func (f *Fleet) SetApply(apply func(Apply)) { f.apply.Store(&apply) }

// Register makes the router pass the messages about members and documents to
// the Fleet.
func (f *Fleet) Register(r *peer.Router) {
	registerType[peer.Head](f, r)
	registerType[peer.DocumentRequest](f, r)
	registerType[peer.Document](f, r)
	registerType[peer.Leaving](f, r)
}

func registerType[M peer.Message](f *Fleet, r *peer.Router) {
	peer.Handle(r, func(from ident.Process, message M, now time.Time) { f.Receive(from, message, now) })
}

// Receive implements peer.Handler. It never blocks; a message that arrives
// while the inbox is full is dropped and counted.
func (f *Fleet) Receive(from ident.Process, message peer.Message, _ time.Time) {
	m, ok := msgOf(from.Instance, message)
	if !ok {
		return
	}
	select {
	case f.inbox <- m:
	default:
		f.stats.dropped.Inc()
	}
}

func msgOf(from ident.Instance, message peer.Message) (Msg, bool) {
	switch m := message.(type) {
	case peer.Head:
		return HeadReceived{From: from, Head: m}, true
	case peer.DocumentRequest:
		return TextRequested{From: from, Version: m.Version}, true
	case peer.Document:
		return TextReceived{From: from, Version: m.Version, Text: m.Text}, true
	case peer.Leaving:
		return PeerLeaving{From: from}, true
	}
	return nil, false
}

// Trusted reports whether a keyed request may run at now under the document in
// force. It must be called for each request, because the evidence of an
// instance may have expired while its process was paused.
func (f *Fleet) Trusted(now time.Time) bool {
	return int64(now.Sub(f.base)) < f.trustedUntil.Load()
}

// Ready reports whether the instance may accept callers: a document is in force
// and its keys may be honoured.
func (f *Fleet) Ready(now time.Time) bool { return f.Version() > 0 && f.Trusted(now) }

// Version returns the version in force, 0 before the first.
func (f *Fleet) Version() ident.Version { return ident.Version(f.version.Load()) }

// Live returns the live instances in order, including this one. Callers must
// not change the slice.
func (f *Fleet) Live() []ident.Instance { return *f.live.Load() }

// Versions returns the version in force on each known instance, ordered by
// instance. Callers must not change the slice.
func (f *Fleet) Versions() []InstanceVersion { return *f.versions.Load() }

// Refresh reads the head at once, for example after an accepted change.
func (f *Fleet) Refresh() {
	select {
	case f.inbox <- Poll{}:
	default:
		f.stats.dropped.Inc()
	}
}

// RemoveMember deletes the member row of an instance that an operator knows to
// be gone. It is needed when half of the known instances or more are gone for
// good, because then the others must not remove them by themselves.
func (f *Fleet) RemoveMember(ctx context.Context, instance ident.Instance) error {
	err := f.deps.Members.Delete(ctx, f.env, instance)
	return errors.Wrapf(err, "remove member row of instance %s", instance)
}

// Close notifies the peers, waits for every goroutine and deletes the member
// row. The mesh must still be open.
func (f *Fleet) Close() error {
	if !f.started.Load() {
		return f.group.Close()
	}
	f.deps.Mesh.Broadcast(peer.Leaving{})
	err := f.group.Close()
	f.trustedUntil.Store(math.MinInt64)
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	deleteErr := f.deps.Members.Delete(ctx, f.env, f.self.Instance)
	return errors.CombineErrors(errors.Wrap(err, "close fleet"), errors.Wrap(deleteErr, "delete member row"))
}

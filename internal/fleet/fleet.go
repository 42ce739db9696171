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

// ErrOutOfTouch reports a change that may not be written, because fewer than
// half of the known instances could be told of it. Nothing was written.
var ErrOutOfTouch = errors.New("out of touch with half of the instances")

// Mesh is what a Fleet needs of the connections to the peers.
type Mesh interface {
	peer.Sender
	SetMembers(members []store.Member)
}

// Ports are the outside systems that a Fleet reaches.
type Ports struct {
	Documents store.Documents
	Members   store.Members
	Directory store.Directory // the platform's list by instance names; may be nil
	Mesh      Mesh
	Log       *event.Log
	Parse     Parser
}

// Fleet runs Members and DocumentTracker for one instance. Its answers for the
// request path take no lock.
type Fleet struct {
	self    store.Member
	env     ident.Environment
	ports   Ports
	options options
	stats   *stats
	group   *tasks.Group
	inbox   chan Msg
	begun   atomic.Bool

	base    time.Time
	until   atomic.Int64 // nanoseconds after base
	version atomic.Uint64
	live    atomic.Pointer[[]ident.Instance]
	inForce atomic.Pointer[[]InstanceVersion]
	apply   atomic.Pointer[func(Apply)]

	waiters waiters

	// Only the loop touches these.
	members *Members
	spread  *DocumentTracker
	refs    map[event.Kind]event.Ref
}

// InstanceVersion tells which version an instance had in force when it told
// last. Connected is false when that was too long ago to count.
type InstanceVersion struct {
	Instance  ident.Instance
	Version   ident.Version
	Connected bool
}

// New returns the fleet of the instance self, to be started by Start. The
// Start of self must differ from those of earlier processes of that name.
func New(self store.Member, env ident.Environment, ports Ports, opts ...Option) *Fleet {
	f := &Fleet{
		self:  self,
		env:   env,
		ports: ports,
		options: options{
			bounds:       DefaultBounds(),
			memberBounds: DefaultMemberBounds(),
			tick:         tickInterval,
		},
		stats: newStats(),
		group: tasks.New(context.Background()),
		inbox: make(chan Msg, inboxMessages),
		base:  time.Now(),
		refs:  make(map[event.Kind]event.Ref),
	}
	for _, o := range opts {
		o(&f.options)
	}
	f.until.Store(math.MinInt64)
	f.live.Store(&[]ident.Instance{self.Instance})
	f.inForce.Store(&[]InstanceVersion{})
	f.members = NewMembers(self, f.options.memberBounds)
	f.spread = NewDocumentTracker(self.Instance, self.Start, ports.Parse, f.options.bounds, self.Start, f.base)
	return f
}

// Start begins to poll, to renew the member row and to answer peers.
func (f *Fleet) Start() {
	f.begun.Store(true)
	f.group.Go(f.loop)
}

// SetApply sets the function that puts a document in force, before Start. The
// function is called from one goroutine, with rising versions; Version and
// Trusted speak of the document only after it has returned.
func (f *Fleet) SetApply(apply func(Apply)) { f.apply.Store(&apply) }

// Register makes the router hand the messages about members and documents to
// the fleet.
func (f *Fleet) Register(r *peer.Router) {
	registerOne[peer.Head](f, r)
	registerOne[peer.DocumentRequest](f, r)
	registerOne[peer.Document](f, r)
	registerOne[peer.Leaving](f, r)
}

func registerOne[M peer.Message](f *Fleet, r *peer.Router) {
	peer.Handle(r, func(from ident.Instance, message M, now time.Time) { f.Receive(from, message, now) })
}

// Receive implements peer.Handler. It never blocks; a message that finds the
// queue full is dropped and counted.
func (f *Fleet) Receive(from ident.Instance, message peer.Message, _ time.Time) {
	m, ok := inputOf(from, message)
	if !ok {
		return
	}
	select {
	case f.inbox <- m:
	default:
		f.stats.dropped.Inc()
	}
}

func inputOf(from ident.Instance, message peer.Message) (Msg, bool) {
	switch m := message.(type) {
	case peer.Head:
		return HeadHeard{From: from, Head: m}, true
	case peer.DocumentRequest:
		return TextAsked{From: from, Version: m.Version}, true
	case peer.Document:
		return TextGiven{From: from, Version: m.Version, Text: m.Text}, true
	case peer.Leaving:
		return Left{From: from}, true
	}
	return nil, false
}

// Trusted reports whether a keyed request may run at now by the document in
// force. It is to be asked for each request, since an instance that was paused
// has lost its evidence when it wakes.
func (f *Fleet) Trusted(now time.Time) bool {
	return int64(now.Sub(f.base)) < f.until.Load()
}

// Ready reports whether the instance may be given callers: a document is in
// force and its keys may be honoured.
func (f *Fleet) Ready(now time.Time) bool { return f.Version() > 0 && f.Trusted(now) }

// Version returns the version in force, 0 before the first.
func (f *Fleet) Version() ident.Version { return ident.Version(f.version.Load()) }

// Live returns the live instances in order, this one included. Callers must
// not change the slice.
func (f *Fleet) Live() []ident.Instance { return *f.live.Load() }

// Versions returns the version in force on each known instance, in order.
// Callers must not change the slice.
func (f *Fleet) Versions() []InstanceVersion { return *f.inForce.Load() }

// Refresh reads the head at once, as after an accepted change.
func (f *Fleet) Refresh() {
	select {
	case f.inbox <- Poll{}:
	default:
		f.stats.dropped.Inc()
	}
}

// Forget deletes the member row of an instance that an operator knows to be
// gone. It is for the case that half of the known instances or more are gone
// for good, in which the others may not remove them by themselves.
func (f *Fleet) Forget(ctx context.Context, instance ident.Instance) error {
	err := f.ports.Members.Delete(ctx, f.env, instance)
	return errors.Wrapf(err, "forget instance %s", instance)
}

// Close tells the peers, waits for every goroutine and deletes the member row.
// The mesh must still be open.
func (f *Fleet) Close() error {
	if !f.begun.Load() {
		return f.group.Close()
	}
	f.ports.Mesh.Broadcast(peer.Leaving{})
	err := f.group.Close()
	f.until.Store(math.MinInt64)
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	gone := f.ports.Members.Delete(ctx, f.env, f.self.Instance)
	return errors.CombineErrors(errors.Wrap(err, "close fleet"), errors.Wrap(gone, "delete member row"))
}

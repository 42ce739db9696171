package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/lead"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// epochTimeout and promoteTimeout limit one request to the platform.
	epochTimeout   = 2 * time.Second
	promoteTimeout = time.Second
)

// groupHost is the instance of a runner.
type groupHost interface {
	askPeers(g ident.Group, e ident.Endpoint)
	setUnreachable(g ident.Group, unreachable bool)
	broadcastProgress()
}

// groupRunner runs the elector of a group. It sends control statements to
// endpoints and requests to the platform, and updates the group pool with the
// primary.
type groupRunner struct {
	group        ident.Group
	pool         *GroupPool
	dialer       Dialer
	promoter     Promoter
	decodeReport ReportDecoder
	host         groupHost
	tasks        *tasks.Group

	mu        sync.Mutex
	owner     bool
	shared    lead.PeerProgress // the latest progress that the peers know
	elector   *lead.Elector
	endpoints map[ident.Endpoint]sched.Endpoint
	conns     map[ident.Endpoint]*controlConn
}

func newGroupRunner(ctx context.Context, g ident.Group, n *Node) *groupRunner {
	rn := &groupRunner{
		group: g, dialer: n.config.Dialer, promoter: n.config.Promoter, decodeReport: n.config.DecodeReport, host: n,
		tasks: tasks.New(ctx), elector: lead.New(),
		endpoints: make(map[ident.Endpoint]sched.Endpoint), conns: make(map[ident.Endpoint]*controlConn),
	}
	rn.pool = NewGroupPool(ctx, g, n.config.Dialer, rn.observe, WithCommitCheck(rn.commitUncertain))
	return rn
}

// Close stops the runner and its pool and waits for both.
func (rn *groupRunner) Close() error {
	err := rn.tasks.Close()
	rn.mu.Lock()
	for _, c := range rn.conns {
		c.disconnect()
	}
	rn.mu.Unlock()
	return errors.CombineErrors(err, rn.pool.Close())
}

// setEndpoints replaces the endpoints of the group.
func (rn *groupRunner) setEndpoints(all []sched.Endpoint) {
	d := lead.Directory{}
	rn.mu.Lock()
	for _, e := range all {
		rn.endpoints[e.ID] = e
		d.Endpoints = append(d.Endpoints, lead.Endpoint{ID: e.ID, Draining: e.Draining, Evacuated: e.Evacuated, IsPrimary: e.IsPrimary, StartedAt: e.StartedAt})
	}
	rn.mu.Unlock()
	rn.pool.SetEndpoints(all)
	rn.update(d)
	rn.forgetEndpoints()
}

// forgetEndpoints drops the endpoints that the elector does not need any more.
// It probes those that have left the directory for a while.
func (rn *groupRunner) forgetEndpoints() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for id := range rn.endpoints {
		if !rn.elector.Knows(id) {
			delete(rn.endpoints, id)
		}
	}
}

// setOwner updates whether this instance owns the group. A former owner gives
// up its connections, because the new owner opens its own.
func (rn *groupRunner) setOwner(owner bool) {
	rn.mu.Lock()
	changed := owner != rn.owner
	rn.owner = owner
	rn.mu.Unlock()
	if !changed {
		return
	}
	trace.Event("GroupHome", "Group", rn.group, "Home", owner)
	rn.update(lead.Ownership{Owner: owner})
	rn.pool.Update(sched.Ownership{Owner: owner})
}

// update sends a message to the elector and executes its commands.
func (rn *groupRunner) update(m lead.Message) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for _, c := range rn.elector.Update(clock.Now(), m) {
		rn.execute(c)
	}
}

// execute executes one command. The caller holds the mutex.
func (rn *groupRunner) execute(c lead.Command) {
	switch c := c.(type) {
	case lead.Probe:
		rn.sendControl(c.Endpoint, Request{Control: Status}, 0)
	case lead.Seal:
		rn.sendControl(c.Endpoint, Request{Control: Seal, Term: c.Term}, c.Term)
	case lead.AskPeers:
		rn.host.askPeers(rn.group, c.Endpoint)
	case lead.AcquireEpoch:
		rn.tasks.Go(func(ctx context.Context) error { return rn.acquireEpoch(ctx, c) })
	case lead.RecordServers:
		rn.tasks.Go(func(ctx context.Context) error { return rn.recordServers(ctx, c) })
	case lead.Promote:
		rn.tasks.Go(func(ctx context.Context) error { return rn.promote(ctx, c) })
	case lead.PrimaryChanged:
		rn.pool.Update(sched.Primary{Endpoint: c.Endpoint, Usable: c.Usable, NoWrites: c.NoWrites, ExpectedAt: c.ExpectedAt})
	case lead.PrimaryUnreachable:
		rn.host.setUnreachable(rn.group, c.Unreachable)
	case lead.BroadcastProgress:
		rn.host.broadcastProgress()
	case lead.PromotionDecided:
		trace.Event("PromotionDecided", "Group", rn.group, "Endpoint", c.Endpoint, "Sealed", c.Sealed, "Needed", c.Needed, "Servers", c.Servers, "Recorded", c.Recorded)
	case lead.SwitchPauseChanged:
		trace.Event("PrimaryChangePause", "Group", rn.group, "Pause", c.Pause.String())
		metrics.GetOrCreateGauge(fmt.Sprintf("marjoram_primary_change_pause_seconds{group=%q}", string(rn.group)), nil).Set(c.Pause.Seconds())
	case lead.StateChanged:
		trace.Event("PrimaryState", "Group", rn.group, "State", c.State.String(), "Endpoint", c.Endpoint, "Term", c.Term, "Why", c.Reason)
	}
}

// observe forwards to the elector what the pool's answers proved.
func (rn *groupRunner) observe(m sched.Message) {
	switch m := m.(type) {
	case sched.EndpointObserved:
		if m.WasPrimary {
			rn.update(lead.PrimaryProof{Endpoint: m.Endpoint, Term: m.Position.Term, Wrote: m.Wrote, Position: m.Position})
		}
	case sched.EndpointFailure:
		switch m.Kind {
		case sched.Unresponsive, sched.Slow:
			rn.update(lead.EndpointFailure{Endpoint: m.Endpoint, Kind: lead.Unanswered})
		case sched.NotPrimary:
			rn.update(lead.EndpointFailure{Endpoint: m.Endpoint, Kind: lead.NotPrimary})
		}
	case sched.ReplicasLagging:
		rn.update(lead.EndpointFailure{Endpoint: m.Endpoint, Kind: lead.ReplicasLag})
	case sched.PrimaryFailing:
		rn.update(lead.EndpointFailure{Endpoint: m.Endpoint, Kind: lead.FailsCalls, Unfit: m.Unfit})
	}
}

// commitUncertain reports whether a commit that was acknowledged in a term may
// be dropped.
func (rn *groupRunner) commitUncertain(t ident.Term) bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.elector.CommitUncertain(clock.Now(), t)
}

// progress returns the progress of the group for the other instances.
func (rn *groupRunner) progress(now time.Time) lead.PeerProgress {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.elector.Progress(now)
}

// unsentProgress returns the progress of the group and whether the other
// instances need it. The owner and a promoting instance send it with every
// heartbeat. Other instances send only what their peers don't know yet; once is
// then set.
func (rn *groupRunner) unsentProgress(now time.Time) (m lead.PeerProgress, once, ok bool) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	m = rn.elector.Progress(now)
	if m.Term == 0 {
		return m, false, false
	}
	repeated := rn.owner || m.PromotionPending
	unknown := rn.markShared(m)
	return m, unknown && !repeated, unknown || repeated
}

// markShared records what the peers know and reports whether it is new. The
// caller holds the mutex.
func (rn *groupRunner) markShared(m lead.PeerProgress) bool {
	if m.Term <= rn.shared.Term && m.Acked.Position <= rn.shared.Acked.Position && m.PromotionPending == rn.shared.PromotionPending {
		return false
	}
	rn.shared.Term = max(rn.shared.Term, m.Term)
	if m.Acked.Position > rn.shared.Acked.Position {
		rn.shared.Acked = m.Acked
	}
	rn.shared.PromotionPending = m.PromotionPending
	return true
}

// receiveProgress applies another instance's progress.
func (rn *groupRunner) receiveProgress(m lead.PeerProgress) {
	known := m
	rn.mu.Lock()
	known.PromotionPending = rn.shared.PromotionPending // the flag concerns only promotions of this instance
	rn.markShared(known)
	rn.mu.Unlock()
	rn.update(m)
}

func (rn *groupRunner) acquireEpoch(ctx context.Context, c lead.AcquireEpoch) error {
	ctx, cancel := context.WithTimeout(ctx, epochTimeout)
	defer cancel()
	sentAt := clock.Now()
	epoch, recorded, err := rn.promoter.AcquireEpoch(ctx, rn.group, c.Servers)
	if err != nil {
		trace.Failure("ClaimFailed", err, "Group", rn.group)
	} else {
		trace.Event("Claimed", "Group", rn.group, "Epoch", epoch, "Recorded", recorded)
	}
	rn.update(lead.EpochAcquired{Epoch: epoch, Recorded: recorded, Added: c.Servers, SentAt: sentAt})
	return nil
}

func (rn *groupRunner) recordServers(ctx context.Context, c lead.RecordServers) error {
	ctx, cancel := context.WithTimeout(ctx, epochTimeout)
	defer cancel()
	if err := rn.promoter.RecordServers(ctx, rn.group, c.Epoch, c.Servers); err != nil {
		trace.Failure("RecordFailed", err, "Group", rn.group, "Epoch", c.Epoch, "Servers", c.Servers)
		if errors.Is(err, ErrEpochOutdated) {
			rn.update(lead.EpochOutdated{Epoch: c.Epoch})
		}
		return nil
	}
	trace.Event("ServersRecorded", "Group", rn.group, "Epoch", c.Epoch, "Servers", c.Servers)
	rn.update(lead.ServersRecorded{Servers: c.Servers})
	return nil
}

func (rn *groupRunner) promote(ctx context.Context, c lead.Promote) error {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	result, err := rn.promoter.Promote(ctx, rn.group, c.Endpoint, c.Epoch)
	if err != nil {
		trace.Failure("PromoteFailed", err, "Group", rn.group, "Endpoint", c.Endpoint, "Epoch", c.Epoch)
	} else {
		trace.Event("Promoted", "Group", rn.group, "Endpoint", c.Endpoint, "Epoch", c.Epoch)
	}
	rn.update(lead.Promoted{Endpoint: c.Endpoint, Result: result})
	return nil
}

// idle reports whether the group needs no attention at present: this instance
// does not own it, runs none of its calls and has no promotion to finish.
func (rn *groupRunner) idle(now time.Time) bool {
	rn.mu.Lock()
	idle := !rn.owner && len(rn.conns) == 0 && !rn.elector.Progress(now).PromotionPending
	rn.mu.Unlock()
	return idle && rn.pool.idle()
}

// tick advances the elector and closes control connections that are not used
// any more.
func (rn *groupRunner) tick(now time.Time) {
	rn.update(lead.Tick{})
	rn.closeIdle(now)
}

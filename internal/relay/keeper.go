package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/lead"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/internal/trace"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// controlTimeout limits one question to an endpoint, connecting included.
	controlTimeout = 300 * time.Millisecond
	// claimTimeout and promoteTimeout limit one call to the platform.
	claimTimeout   = 2 * time.Second
	promoteTimeout = time.Second
	// controlAccount is what endpoints are told of connections that serve no
	// client account.
	controlAccount ident.Account = "-"
	// controlIdle closes control connections that were not used for this long.
	controlIdle = 2 * time.Second
)

// overseer is what a keeper needs of its instance.
type overseer interface {
	askOthers(g ident.Group, e ident.Endpoint)
	setUnfit(g ident.Group, unfit bool)
	spread()
}

// keeper runs a group's lead.Elector: it asks endpoints and the platform, and
// tells the group's home who leads.
type keeper struct {
	group    ident.Group
	home     *GroupPool
	dialer   Dialer
	control  Promoter
	reporter ReportDecoder
	overseer overseer
	tasks    *tasks.Group

	mu        sync.Mutex
	isHome    bool
	shared    lead.PeerProgress // the latest that the others know
	lead      *lead.Elector
	endpoints map[ident.Endpoint]sched.Endpoint
	conns     map[ident.Endpoint]*controlConn
}

// controlConn is a connection for control statements. Whoever sets busy, under
// the keeper's mutex, has it alone until busy is taken back.
type controlConn struct {
	busy bool
	conn Conn
	used time.Time
}

func newKeeper(ctx context.Context, g ident.Group, n *Node) *keeper {
	k := &keeper{
		group: g, dialer: n.config.Dialer, control: n.config.Control, reporter: n.config.DecodeReport, overseer: n,
		tasks: tasks.New(ctx), lead: lead.New(),
		endpoints: make(map[ident.Endpoint]sched.Endpoint), conns: make(map[ident.Endpoint]*controlConn),
	}
	k.home = NewGroupPool(ctx, g, n.config.Dialer, k.observe)
	k.tasks.Go(k.tick)
	return k
}

// Close ends the keeper and its home and waits for both.
func (k *keeper) Close() error {
	err := k.tasks.Close()
	k.mu.Lock()
	for _, c := range k.conns {
		c.drop()
	}
	k.mu.Unlock()
	return errors.CombineErrors(err, k.home.Close())
}

// setEndpoints replaces the directory of the group.
func (k *keeper) setEndpoints(all []sched.Endpoint) {
	d := lead.Directory{}
	k.mu.Lock()
	for _, e := range all {
		k.endpoints[e.ID] = e
		d.Endpoints = append(d.Endpoints, lead.Endpoint{ID: e.ID, Draining: e.Draining, IsPrimary: e.IsPrimary, StartedAt: e.StartedAt})
	}
	k.mu.Unlock()
	k.home.Update(sched.Directory{Endpoints: all})
	k.tell(d)
}

// setHome tells whether the group's connections are held here. Connections
// that another instance now opens are given up.
func (k *keeper) setHome(home bool) {
	k.mu.Lock()
	changed := home != k.isHome
	k.isHome = home
	k.mu.Unlock()
	if !changed {
		return
	}
	trace.Event("GroupHome", "Group", k.group, "Home", home)
	k.tell(lead.Ownership{Owner: home})
	k.home.Update(sched.Ownership{Owner: home})
}

// tell passes a message to the model and carries its commands out.
func (k *keeper) tell(m lead.Message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.lead.Update(clock.Now(), m) {
		k.carry(c)
	}
}

// carry carries out one command. The caller holds the mutex.
func (k *keeper) carry(c lead.Command) {
	switch c := c.(type) {
	case lead.Probe:
		k.ask(c.Endpoint, Request{Control: Status}, 0)
	case lead.Seal:
		k.ask(c.Endpoint, Request{Control: Seal, Term: c.Term}, c.Term)
	case lead.AskPeers:
		k.overseer.askOthers(k.group, c.Endpoint)
	case lead.AcquireEpoch:
		k.tasks.Go(k.claim)
	case lead.Promote:
		k.tasks.Go(func(ctx context.Context) error { return k.promote(ctx, c) })
	case lead.PrimaryChanged:
		k.home.Update(sched.Primary{Endpoint: c.Endpoint, Usable: c.Usable, NoWrites: c.NoWrites, ExpectedAt: c.ExpectedAt})
	case lead.PrimaryUnreachable:
		k.overseer.setUnfit(k.group, c.Unreachable)
	case lead.BroadcastProgress:
		k.overseer.spread()
	case lead.StateChanged:
		trace.Event("PrimaryState", "Group", k.group, "State", c.State.String(), "Endpoint", c.Endpoint, "Term", c.Term, "Why", c.Reason)
	}
}

// observe takes what the home's answers proved.
func (k *keeper) observe(m sched.Message) {
	switch m := m.(type) {
	case sched.EndpointObserved:
		if m.WasPrimary {
			k.tell(lead.PrimaryProof{Endpoint: m.Endpoint, Term: m.Position.Term, Wrote: m.Wrote, Position: m.Position})
		}
	case sched.EndpointFailure:
		if m.Kind == sched.Unresponsive || m.Kind == sched.Slow || m.Kind == sched.NotPrimary {
			k.tell(lead.EndpointFailure{Endpoint: m.Endpoint, NotPrimary: m.Kind == sched.NotPrimary})
		}
	}
}

// news returns what the other instances need to know of the group.
func (k *keeper) news(now time.Time) lead.PeerProgress {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lead.Progress(now)
}

// untold returns the news of the group, and whether the others need it: the
// instance that serves the group, or orders a promotion, tells them regularly,
// any other one what it alone has seen.
func (k *keeper) untold(now time.Time) (lead.PeerProgress, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := k.lead.Progress(now)
	if m.Term == 0 || !k.isHome && !m.PromotionPending && !k.share(m) {
		return m, false
	}
	k.share(m)
	return m, true
}

// share notes what the others know, and reports whether that is new. The caller
// holds the mutex.
func (k *keeper) share(m lead.PeerProgress) bool {
	if m.Term <= k.shared.Term && m.Acked.Position <= k.shared.Acked.Position && m.PromotionPending == k.shared.PromotionPending {
		return false
	}
	k.shared.Term = max(k.shared.Term, m.Term)
	if m.Acked.Position > k.shared.Acked.Position {
		k.shared.Acked = m.Acked
	}
	k.shared.PromotionPending = m.PromotionPending
	return true
}

// hear takes another instance's news.
func (k *keeper) hear(m lead.PeerProgress) {
	known := m
	k.mu.Lock()
	known.PromotionPending = k.shared.PromotionPending // whether this instance ordered, not the other
	k.share(known)
	k.mu.Unlock()
	k.tell(m)
}

// ask sends a control statement without waiting for it. The caller holds the
// mutex.
func (k *keeper) ask(id ident.Endpoint, r Request, sealed ident.Term) {
	e, ok := k.endpoints[id]
	if !ok {
		return
	}
	c := k.conns[id]
	if c == nil {
		c = &controlConn{}
		k.conns[id] = c
	}
	if c.busy {
		return // the question before it is not answered yet; the model asks again
	}
	asked := clock.Now()
	c.busy, c.used = true, asked
	k.tasks.Go(func(ctx context.Context) error {
		report, err := k.question(ctx, e, c, r)
		k.mu.Lock()
		c.busy = false
		k.mu.Unlock()
		m := lead.ProbeResult{
			Endpoint: id, Asked: asked, Failed: err != nil, IsPrimary: report.IsPrimary,
			Term: report.Term, Received: report.Received, SealedTerm: sealed,
		}
		if err != nil {
			trace.Failure("ControlFailed", err, "Group", k.group, "Endpoint", id, "Sealing", sealed)
		} else if sealed != 0 {
			trace.Event("Sealed", "Group", k.group, "Endpoint", id, "Sealing", sealed, "Held", report.SealedTerm, "Term", report.Term, "Received", report.Received, "Leads", report.IsPrimary)
		}
		k.tell(m)
		return nil
	})
}

// question sends one control statement and decodes the report.
func (k *keeper) question(ctx context.Context, e sched.Endpoint, c *controlConn, r Request) (EndpointReport, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if c.conn == nil {
		conn, err := k.dialer.Dial(ctx, k.group, e, controlAccount)
		if err != nil {
			k.makeRoom(e.ID, err)
			return EndpointReport{}, err
		}
		c.conn = conn
	}
	a, err := c.conn.Do(r, controlTimeout)
	if err != nil {
		_ = c.conn.Close()
		c.conn = nil
		return EndpointReport{}, err
	}
	if !a.OK() || len(a.Rows) == 0 {
		return EndpointReport{}, errors.Newf("control statement: %s %s", a.Reason, a.Detail)
	}
	return k.reporter(a.Rows[0])
}

// makeRoom closes an idle connection of an account at an endpoint that takes
// no more.
func (k *keeper) makeRoom(id ident.Endpoint, err error) {
	var e *DialError
	if errors.As(err, &e) && e.Result == sched.ConnLimitReached {
		k.home.Update(sched.CloseIdleConn{Endpoint: id})
	}
}

func (c *controlConn) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (k *keeper) claim(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	epoch, err := k.control.AcquireEpoch(ctx, k.group)
	if err != nil {
		trace.Failure("ClaimFailed", err, "Group", k.group)
	} else {
		trace.Event("Claimed", "Group", k.group, "Epoch", epoch)
	}
	k.tell(lead.EpochAcquired{Epoch: epoch})
	return nil
}

func (k *keeper) promote(ctx context.Context, c lead.Promote) error {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	result, err := k.control.Promote(ctx, k.group, c.Endpoint, c.Epoch)
	if err != nil {
		trace.Failure("PromoteFailed", err, "Group", k.group, "Endpoint", c.Endpoint, "Epoch", c.Epoch)
	} else {
		trace.Event("Promoted", "Group", k.group, "Endpoint", c.Endpoint, "Epoch", c.Epoch)
	}
	k.tell(lead.Promoted{Endpoint: c.Endpoint, Result: result})
	return nil
}

// reach tells another instance whether this one reaches an endpoint.
func (k *keeper) reach(ctx context.Context, id ident.Endpoint) peer.ReachReply {
	m := peer.ReachReply{Group: k.group, Endpoint: id}
	k.mu.Lock()
	e, ok := k.endpoints[id]
	k.mu.Unlock()
	if !ok {
		return m
	}
	c := &controlConn{}
	defer c.drop()
	r, err := k.question(ctx, e, c, Request{Control: Status})
	m.Reached, m.IsPrimary, m.Term = err == nil, r.IsPrimary, r.Term
	return m
}

func (k *keeper) tick(ctx context.Context) error {
	for ctx.Err() == nil {
		tasks.Pause(ctx, 2*tickInterval)
		k.tell(lead.Tick{})
		k.closeIdle(clock.Now())
	}
	return nil
}

func (k *keeper) closeIdle(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, c := range k.conns {
		if !c.busy && now.Sub(c.used) > controlIdle {
			c.drop()
			delete(k.conns, id)
		}
	}
}

package lead

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// probeInterval is the time between two questions to the same endpoint.
	probeInterval = 150 * time.Millisecond
	// urgentInterval is the same where a change of primary waits for the answer.
	urgentInterval = probeInterval / 3
	// deathTime is how long a primary may leave probes unanswered before it is
	// replaced: one probe's timeout, with the other instances' opinions.
	deathTime = 350 * time.Millisecond
	// stuckTime is how long all replicas may stay behind a position that the
	// primary has shown before it is taken to be cut off from them.
	stuckTime = 400 * time.Millisecond
	// sealLimit is how long an instance tries to seal enough replicas before it
	// leaves that to another one.
	sealLimit = 1200 * time.Millisecond
	// quietTime is how long a primary may show no sign of life, as when no
	// caller has work for it, before it is asked.
	quietTime = time.Second
	// holdTime is how long a primary keeps its place after its promotion though
	// no replica receives from it: another one would hardly fare better.
	holdTime = 5 * time.Second
	// sealTime is how long a confirmed seal counts. A promotion that another
	// instance ordered takes seals away, so they are confirmed anew.
	sealTime = 300 * time.Millisecond
	// promoteTime is what a promotion usually takes, with the way there.
	promoteTime = 700 * time.Millisecond
	// promoteLimit is how long a promotion may take before it is begun anew.
	promoteLimit = 3 * time.Second
	// claimPause is the pause between two attempts to get the right to promote.
	claimPause = 500 * time.Millisecond
	// settleTime is how long an instance serves a group before it claims the
	// right to promote, so that a change of mind costs no call.
	settleTime = 300 * time.Millisecond
	// unfitTime is how long an instance that alone misses the primary leaves
	// the group to others.
	unfitTime = 3 * time.Second
	// calmTime is how long a confirmed primary is not doubted again for the
	// same reason.
	calmTime = 300 * time.Millisecond
	// lateTime is how long a promotion call without an answer may still be
	// carried out: the platform says seconds.
	lateTime = 10 * time.Second
	// newsTime is how long another instance's order of a promotion counts after
	// the latest news of it: one pulse and a half.
	newsTime = 1500 * time.Millisecond
	// goneTime is how long an endpoint still counts that left the directory: it,
	// or the one that takes its place, may be back with what it alone holds.
	goneTime = 20 * time.Second
)

// Elector is the model of one group's primary. Update is its only way to
// change.
type Elector struct {
	state   State
	since   time.Time
	home    bool
	became  time.Time // when home last changed
	sync    int
	leader  ident.Endpoint
	term    ident.Term
	servers map[ident.Endpoint]*server

	acked   ident.LogPosition
	newest  ident.Term // that an endpoint is known to have led
	epoch   ident.Epoch
	claimed time.Time // of the latest AcquireEpoch
	target  ident.Endpoint
	sent    time.Time // of the latest Promote
	// pending is the target of a Promote with this epoch that may yet be carried
	// out. Another target needs a new epoch first. Unsure is set once a call
	// with this epoch had no answer, so that a copy may come late.
	pending ident.Endpoint
	unsure  bool
	// ordered is when a Promote was sent that may still be carried out, as no
	// later term was seen since. Answered is set once it was accepted.
	ordered  time.Time
	answered bool
	// rival is another instance with such an order, until rivalEnd.
	rival      ident.Instance
	rivalEnd   time.Time
	proved     time.Time // when the primary last showed its lead
	promotedAt time.Time // when the primary was last replaced from here
	noWrites   bool      // as announced
	allAt      time.Time // when all replicas but the successor were sealed
	refused    ident.Endpoint
	alone      bool // another instance reaches the primary
	unfit      time.Time
	calm       time.Time
	ahead      ident.LogPosition // a position of the primary that no replica had
	aheadAt    time.Time
	out        []Command
}

// New returns a keeper that knows nothing.
func New() *Elector {
	return &Elector{state: Searching, servers: make(map[ident.Endpoint]*server), sync: 1}
}

// Update takes one message at the given time and returns what has to be done.
func (k *Elector) Update(now time.Time, m Message) []Command {
	k.out = nil
	switch m := m.(type) {
	case Directory:
		k.directory(now, m)
	case ReplicationRules:
		k.sync = m.SyncReplicas
	case Ownership:
		k.role(now, m.Owner)
	case PrimaryProof:
		k.led(now, m)
	case PeerProgress:
		k.news(now, m)
	case EndpointFailure:
		k.trouble(now, m)
	case ProbeResult:
		k.report(now, m)
	case PeerOpinion:
		k.reached(now, m)
	case EpochAcquired:
		k.epoch, k.pending, k.unsure = m.Epoch, "", false
	case Promoted:
		k.promoted(now, m)
	}
	k.advance(now)
	return k.out
}

// all yields the servers in order of their names, so that the same messages
// always lead to the same commands.
func (k *Elector) all() iter.Seq2[ident.Endpoint, *server] {
	return func(yield func(ident.Endpoint, *server) bool) {
		for _, id := range slices.Sorted(maps.Keys(k.servers)) {
			if !yield(id, k.servers[id]) {
				return
			}
		}
	}
}

func (k *Elector) emit(c Command) { k.out = append(k.out, c) }

func (k *Elector) enter(now time.Time, s State, why string) {
	k.state, k.since = s, now
	k.emit(StateChanged{State: s, Endpoint: k.leader, Term: k.term, Reason: why})
	switch s {
	case Steady:
		k.calm = now
		k.alone, k.noWrites = false, false
		k.ahead = ident.LogPosition{}
		k.emit(PrimaryChanged{Endpoint: k.leader, Usable: true})
	case Sealing:
		k.emit(PrimaryChanged{Endpoint: k.leader, ExpectedAt: now.Add(promoteTime)})
	case Searching:
		k.emit(PrimaryChanged{Endpoint: k.leader, ExpectedAt: now.Add(probeInterval)})
	}
}

func (k *Elector) directory(now time.Time, m Directory) {
	seen := make(map[ident.Endpoint]bool, len(m.Endpoints))
	fresh := 0
	for _, e := range m.Endpoints {
		seen[e.ID] = true
		s := k.servers[e.ID]
		if s == nil {
			s = &server{}
			k.servers[e.ID] = s
			fresh++
		}
		if s.StartedAt != e.StartedAt {
			s.sealed = 0
		}
		s.Endpoint, s.gone = e, time.Time{}
	}
	for id, s := range k.all() {
		if !seen[id] && s.gone.IsZero() {
			s.gone = now
		}
	}
	k.replaced(fresh)
	k.believe(now)
}

// replaced forgets as many endpoints that left as new ones came. Until then one
// that left still counts: the one that takes its place holds its log, and
// receives from the primary before it is listed.
func (k *Elector) replaced(fresh int) {
	for id, s := range k.all() {
		if fresh > 0 && !s.gone.IsZero() && s.Draining {
			delete(k.servers, id)
			fresh--
		}
	}
}

// believe takes the primary from the directory where nothing better is known.
func (k *Elector) believe(now time.Time) {
	var leads []ident.Endpoint
	for id, s := range k.all() {
		if s.IsPrimary && s.gone.IsZero() {
			leads = append(leads, id)
		}
	}
	if len(leads) != 1 || leads[0] == k.leader {
		return
	}
	old := k.servers[k.leader]
	if old != nil && !old.IsPrimary && k.term == k.newest {
		k.learnTerm(k.term + 1) // the old one has lost the lead, so a later term began
	}
	if k.state == Searching || (k.state == Steady || k.state == Doubting) && (old == nil || !old.IsPrimary) {
		k.leader = leads[0]
		k.enter(now, Steady, "the directory names it")
	}
}

func (k *Elector) role(now time.Time, home bool) {
	if home == k.home {
		return
	}
	k.home, k.became = home, now
	if !k.owes(now) {
		k.epoch, k.claimed = 0, time.Time{}
	}
}

// retire leaves the group to another instance.
func (k *Elector) retire(now time.Time) {
	k.epoch, k.claimed = 0, time.Time{}
	if k.state == Steady || k.state == Searching {
		return
	}
	k.enter(now, Searching, "another instance serves the group")
	k.believe(now)
}

// learnAcked notes an acknowledged commit. What is acknowledged is never
// dropped, so its number counts in all later terms.
func (k *Elector) learnAcked(m ident.LogPosition) {
	if m.Position > k.acked.Position {
		k.acked = m
	}
	k.learnTerm(m.Term)
}

func (k *Elector) learnTerm(t ident.Term) {
	if t <= k.newest {
		return
	}
	k.newest, k.rival = t, ""
	k.settle()
}

func (k *Elector) led(now time.Time, m PrimaryProof) {
	k.learnTerm(m.Term)
	if m.Wrote {
		k.learnAcked(m.Position)
	}
	if m.Term < k.term {
		return
	}
	changed := m.Endpoint != k.leader || m.Term > k.term
	k.proved = now
	k.leader, k.term = m.Endpoint, m.Term
	if k.state == Steady && !changed || k.state == Sealing || k.state == Switching {
		return
	}
	if k.state == Doubting && !changed && !m.Wrote {
		return // it leads, but may be cut off from its replicas
	}
	if k.state == Promoting && m.Endpoint != k.target {
		return
	}
	k.enter(now, Steady, "it proved its lead")
}

func (k *Elector) trouble(now time.Time, m EndpointFailure) {
	if m.Endpoint != k.leader || k.state != Steady || now.Sub(k.calm) < calmTime && !m.NotPrimary {
		return
	}
	if m.NotPrimary {
		if s := k.servers[m.Endpoint]; s != nil {
			s.IsPrimary = false
		}
		k.enter(now, Searching, "it refused as a replica")
		k.believe(now)
		return
	}
	k.enter(now, Doubting, "it did not answer")
	k.emit(AskPeers{Endpoint: k.leader})
}

func (k *Elector) report(now time.Time, m ProbeResult) {
	s := k.servers[m.Endpoint]
	if s == nil {
		return
	}
	if m.Failed {
		s.failed = now
		k.trouble(now, EndpointFailure{Endpoint: m.Endpoint})
		return
	}
	s.report, s.heard = m, now
	k.learnTerm(max(m.Term, m.Received.Term))
	if m.SealedTerm != 0 {
		s.sealed, s.sealedAt = m.SealedTerm, m.Asked
	}
	if !m.IsPrimary {
		if m.Endpoint == k.leader && (k.state == Doubting || k.state == Steady) {
			k.enter(now, Searching, "it says that it is a replica")
		}
		return
	}
	if m.Endpoint == k.leader {
		k.proved = now
	}
	if m.Term > k.term && k.state == Sealing {
		k.leader, k.term = m.Endpoint, m.Term
		if !k.owes(now) {
			k.enter(now, Steady, "it leads a later term")
		}
		return
	}
	if k.state == Searching && m.Term >= k.term || k.state == Promoting && m.Endpoint == k.target {
		if k.state == Promoting {
			k.promotedAt = now
		}
		k.leader, k.term = m.Endpoint, m.Term
		k.enter(now, Steady, "it says that it leads")
		return
	}
	if k.state == Doubting && m.Endpoint == k.leader && !k.stuck(now) {
		if k.ahead.Zero() {
			k.enter(now, Steady, "it answers")
		}
	}
}

// stuck reports whether the primary shows a position that no replica receives.
func (k *Elector) stuck(now time.Time) bool {
	leader := k.servers[k.leader]
	if leader == nil || leader.report.Received.Zero() {
		return false
	}
	if k.ahead.Zero() {
		if k.replicaHas(leader.report.Received) {
			return false
		}
		k.ahead, k.aheadAt = leader.report.Received, now
		return false
	}
	if k.replicaHas(k.ahead) {
		k.ahead = ident.LogPosition{}
		return false
	}
	return now.Sub(k.aheadAt) > stuckTime
}

func (k *Elector) replicaHas(m ident.LogPosition) bool {
	for id, s := range k.all() {
		if id != k.leader && s.report.Received.Covers(m) {
			return true
		}
	}
	return false
}

func (k *Elector) reached(now time.Time, m PeerOpinion) {
	k.learnTerm(m.Term)
	if k.state != Doubting || m.Endpoint != k.leader || !m.Reached || !m.IsPrimary {
		return
	}
	k.alone = true
}

package lead

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// probeInterval is the interval between two probes of the same endpoint.
	probeInterval = 150 * time.Millisecond
	// urgentProbeInterval is the interval while a change of primary waits for
	// the answer.
	urgentProbeInterval = probeInterval / 3
	// primaryTimeout is how long a primary may leave probes unanswered before
	// it is replaced. It covers the timeout of one probe and the opinions of
	// the other instances.
	primaryTimeout = 350 * time.Millisecond
	// replicationTimeout is how long all replicas may stay behind a position of
	// the primary before the primary is considered isolated from them.
	replicationTimeout = 400 * time.Millisecond
	// sealTimeout is how long an instance tries to seal enough replicas before
	// it hands the group over to another instance.
	sealTimeout = 1200 * time.Millisecond
	// idleProbeDelay is how long a primary may go without any proof of its
	// role, for example because there is no traffic, before it is probed.
	idleProbeDelay = time.Second
	// promotionGrace is how long after a promotion a primary is kept although
	// no replica receives from it. Another primary would most likely have the
	// same problem.
	promotionGrace = 5 * time.Second
	// sealValidity is how long a confirmed seal counts. Seals are confirmed
	// repeatedly because a promotion by another instance removes them.
	sealValidity = 300 * time.Millisecond
	// usualPromotionTime is the usual duration of a promotion, including the
	// network round trip.
	usualPromotionTime = 700 * time.Millisecond
	// promotionTimeout is how long a promotion may take before it is started
	// again.
	promotionTimeout = 3 * time.Second
	// promotionRetryPause is the least time between two copies of a Promote. A call
	// that fails immediately is then not repeated in a loop.
	promotionRetryPause = 100 * time.Millisecond
	// epochRetryPause is the pause between two requests for an epoch.
	epochRetryPause = 500 * time.Millisecond
	// ownershipSettleTime is how long an instance owns a group before it
	// requests an epoch. Short changes of ownership then cause no requests to
	// the platform.
	ownershipSettleTime = 300 * time.Millisecond
	// unreachableTime is how long an instance that alone can't reach the
	// primary leaves the group to others.
	unreachableTime = 3 * time.Second
	// recoveryGrace is how long a primary that has just been confirmed is not
	// suspected again for the same reason.
	recoveryGrace = 300 * time.Millisecond
	// latePromotionLimit is how long a promotion without an answer may still
	// take effect. The platform states a few seconds.
	latePromotionLimit = 10 * time.Second
	// progressValidity is how long a pending promotion of another instance
	// counts after its latest progress report: one and a half heartbeat
	// intervals.
	progressValidity = 1500 * time.Millisecond
	// departedRetention is how long an endpoint counts after it has left the
	// directory. It, or its replacement, may return with data that no other
	// endpoint holds.
	departedRetention = 20 * time.Second
)

// Elector is the model of one group's primary. Its state changes only in
// Update.
type Elector struct {
	state          State
	stateSince     time.Time
	owner          bool
	ownerChangedAt time.Time // when owner last changed
	syncReplicas   int
	primary        ident.Endpoint
	term           ident.Term
	servers        map[ident.Endpoint]*server
	forgotten      map[ident.Endpoint]bool // servers that do not count any more
	listedSince    time.Time               // when the directory first listed a server
	listedAt       time.Time               // when the directory last listed a further server
	record         groupRecord

	acked            ident.LogPosition
	newestTerm       ident.Term // newest term that any endpoint is known to have been the primary of
	epoch            ident.Epoch
	epochRequestedAt time.Time // time of the latest AcquireEpoch
	target           ident.Endpoint
	promotion        promotion
	// peerPromoter is another instance with a pending promotion, until
	// peerPromoterUntil.
	peerPromoter      ident.Instance
	peerPromoterUntil time.Time
	// promotingPeers are the instances that have a pending promotion, with the time
	// of their latest report of it. peerPromotedAt is when one was added.
	promotingPeers    map[ident.Instance]time.Time
	peerPromotedAt    time.Time
	provedAt          time.Time // when the primary last proved its role
	promotedAt        time.Time // when this instance last replaced the primary
	noWrites          bool      // value in the latest PrimaryChanged
	othersSealedAt    time.Time // when all replicas except the successor were sealed
	refusedTarget     ident.Endpoint
	peerReaches       bool // another instance reaches the primary
	unreachableSince  time.Time
	steadySince       time.Time
	unreplicated      ident.LogPosition // position of the primary that no replica held
	unreplicatedSince time.Time
	unusableSince     time.Time // zero while a primary is usable
	expectedAt        time.Time // when a usable primary was announced to be expected
	failing           failingPrimary
	commands          []Command
}

// New returns an elector without endpoints.
func New() *Elector {
	return &Elector{state: Searching, servers: make(map[ident.Endpoint]*server), forgotten: make(map[ident.Endpoint]bool), promotingPeers: make(map[ident.Instance]time.Time), syncReplicas: 1}
}

// Update applies one message at the given time and returns the commands to
// execute.
func (el *Elector) Update(now time.Time, m Message) []Command {
	el.commands = nil
	if el.stateSince.IsZero() {
		el.stateSince = now
	}
	switch m := m.(type) {
	case Directory:
		el.setDirectory(now, m)
	case Evacuated:
		el.setEvacuated(m)
	case ReplicationRules:
		el.syncReplicas = m.SyncReplicas
	case Ownership:
		el.setOwner(now, m.Owner)
	case PrimaryProof:
		el.primaryProof(now, m)
	case PeerProgress:
		el.peerProgress(now, m)
	case EndpointFailure:
		el.endpointFailure(now, m)
	case ProbeResult:
		el.probeResult(now, m)
	case PeerOpinion:
		el.peerOpinion(now, m)
	case EpochAcquired:
		el.epochAcquired(now, m)
	case ServersRecorded:
		el.setRecorded(m.Servers)
	case EpochOutdated:
		el.epochOutdated(now, m)
	case RecordLost:
		el.setRecorded(nil)
	case Promoted:
		el.promotionResult(now, m)
	}
	el.advance(now)
	return el.commands
}

// Knows reports whether an endpoint is in the directory or left it recently.
func (el *Elector) Knows(id ident.Endpoint) bool { return el.servers[id] != nil }

// sortedServers yields the servers sorted by name, so that equal inputs lead to
// equal commands.
func (el *Elector) sortedServers() iter.Seq2[ident.Endpoint, *server] {
	return func(yield func(ident.Endpoint, *server) bool) {
		for _, id := range slices.Sorted(maps.Keys(el.servers)) {
			if !yield(id, el.servers[id]) {
				return
			}
		}
	}
}

func (el *Elector) emit(c Command) { el.commands = append(el.commands, c) }

func (el *Elector) setState(now time.Time, s State, reason string) {
	el.state, el.stateSince = s, now
	el.settleLatePromotion()
	el.emit(StateChanged{State: s, Endpoint: el.primary, Term: el.term, Reason: reason})
	switch s {
	case Steady:
		el.steadySince = now
		el.peerReaches, el.noWrites = false, false
		el.unreplicated = ident.LogPosition{}
		el.unusableSince = time.Time{}
		el.emit(PrimaryChanged{Endpoint: el.primary, Usable: true})
	case Sealing:
		el.announceUnusable(now, usualPromotionTime)
	case Searching:
		el.announceUnusable(now, probeInterval)
	}
}

func (el *Elector) setDirectory(now time.Time, m Directory) {
	if el.listedSince.IsZero() && len(m.Endpoints) > 0 {
		el.listedSince = now
	}
	seen := make(map[ident.Endpoint]bool, len(m.Endpoints))
	added := 0
	for _, e := range m.Endpoints {
		seen[e.ID] = true
		delete(el.forgotten, e.ID)
		s := el.servers[e.ID]
		if s == nil || !s.departedAt.IsZero() {
			el.listedAt = now
		}
		if s == nil {
			s = &server{}
			el.servers[e.ID] = s
			el.record.unchecked = true
			added++
		}
		if s.StartedAt != e.StartedAt {
			el.sealLost(now, s)
		}
		s.Endpoint, s.departedAt = e, time.Time{}
	}
	for id, s := range el.sortedServers() {
		if !seen[id] && s.departedAt.IsZero() {
			s.departedAt = now
		}
	}
	if added > 0 {
		el.markUnsealed(now) // a new replica receives without a seal
	}
	el.forgetReplaced(added)
	el.adoptListedPrimary(now)
}

// forgetReplaced removes one departed endpoint for each new one. Until then a
// departed endpoint counts, because its replacement holds its log and receives
// from the primary before it is listed.
func (el *Elector) forgetReplaced(added int) {
	for id, s := range el.sortedServers() {
		if added > 0 && !s.departedAt.IsZero() && s.Draining {
			el.forget(id)
			added--
		}
	}
}

// adoptListedPrimary takes the primary from the directory unless a better
// source contradicts it.
func (el *Elector) adoptListedPrimary(now time.Time) {
	var primaries []ident.Endpoint
	for id, s := range el.sortedServers() {
		if s.IsPrimary && s.departedAt.IsZero() {
			primaries = append(primaries, id)
		}
	}
	if len(primaries) != 1 || primaries[0] == el.primary {
		return
	}
	old := el.servers[el.primary]
	if old != nil && !old.IsPrimary && el.term == el.newestTerm {
		el.recordTerm(now, el.term+1) // the old primary lost its role, so a later term has begun
	}
	if el.state == Searching || (el.state == Steady || el.state == Doubting) && el.lostRole(old) {
		el.primary = primaries[0]
		el.setState(now, Steady, "the directory lists it as primary")
	}
}

// lostRole reports whether the believed primary, which is nil if it is not known
// any more, is no longer the primary: it says so itself, or it has left the
// directory and a later term has begun.
func (el *Elector) lostRole(old *server) bool {
	return old == nil || !old.IsPrimary || !old.departedAt.IsZero() && el.term < el.newestTerm
}

func (el *Elector) setOwner(now time.Time, owner bool) {
	if owner == el.owner {
		return
	}
	el.owner, el.ownerChangedAt = owner, now
	if !el.mustFinishPromotion(now) {
		el.dropEpoch()
	}
}

// dropEpoch gives up the epoch. The next one is requested without a pause.
func (el *Elector) dropEpoch() { el.epoch, el.epochRequestedAt = 0, time.Time{} }

// standDown leaves the group to another instance.
func (el *Elector) standDown(now time.Time) {
	el.dropEpoch()
	if el.state == Steady || el.state == Searching {
		return
	}
	el.setState(now, Searching, "another instance owns the group")
	el.adoptListedPrimary(now)
}

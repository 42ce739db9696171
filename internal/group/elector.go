package group

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Elector decides, for one group and one instance, which endpoint is the
// primary, when it is lost and which one is promoted next. It does no I/O:
// Update takes a message and the current time and returns commands. It asserts
// that the term never decreases and that a term has one primary only.
//
// Terms and the choice among a sealed majority follow the view change of
// Viewstamped Replication (Oki and Liskov, PODC 1988; Liskov and Cowling,
// 2012) and the terms of Raft (Ongaro and Ousterhout, USENIX ATC 2014). The
// instances only propose terms; the servers of the group store them.
type Elector struct {
	self       ident.Instance
	group      ident.Group
	bounds     Bounds
	safeguards safeguards

	members []*member
	rank    int // of this instance, from 0; instances of higher ranks fail over later

	term      ident.Term
	primary   ident.Endpoint
	adoptedAt time.Time // when term was adopted
	history   []PositionSample
	highest   ident.Term // highest term seen or proposed, also of seals

	lostSince       time.Time
	isolatedSince   time.Time
	unresolvedSince time.Time
	handOverSince   time.Time
	fastProbeUntil  time.Time
	attempt         *attempt  // nil if none is in progress
	retryAt         time.Time // no attempt begins before
	retries         int       // attempts abandoned since a term was adopted
	// repromoted is true when the latest attempt promoted the primary again.
	repromoted bool

	now      time.Time // of the current Update
	changed  bool      // the view has to be published
	commands []Cmd
}

// NewElector returns an Elector for group as the document defines it.
func NewElector(self ident.Instance, group envdoc.Group, bounds Bounds) *Elector {
	e := &Elector{self: self, group: group.Name, bounds: bounds, safeguards: allSafeguards}
	e.setMembers(group.Endpoints)
	return e
}

// Update processes one message at the time now and returns the commands to
// execute, in order.
func (e *Elector) Update(msg Msg, now time.Time) []Cmd {
	e.detectPause(now)
	e.now, e.commands, e.changed = now, nil, false
	before := e.term
	e.apply(msg)
	e.decide()
	if e.term < before {
		assert.That(false, "GroupTermNeverGoesBack", "group %s: term %d after %d", e.group, e.term, before)
	}
	if e.changed {
		e.issue(Publish{View: e.View()})
	}
	return e.commands
}

func (e *Elector) apply(msg Msg) {
	switch m := msg.(type) {
	case Tick:
	case DocumentChanged:
		e.setMembers(m.Group.Endpoints)
	case LeavingChanged:
		e.setLeaving(m.Endpoints)
	case RankChanged:
		e.rank = m.Rank
	case ProbeAnswered:
		e.probeAnswered(m)
	case ProbeFailed:
		e.probeFailed(m)
	case StatusObserved:
		e.statusObserved(m)
	case RequestFailed:
		e.requestFailed(m)
	case PeerStateReceived:
		e.peerStateReceived(m)
	case SealDone:
		e.sealDone(m)
	case PromoteDone:
		e.promoteDone(m)
	case FollowDone:
		e.followDone(m)
	}
}

// decide issues the commands that follow from the current state.
func (e *Elector) decide() {
	e.updateConditions()
	e.advanceAttempt()
	e.repointReplicas()
	e.issueProbes()
}

// View returns a snapshot of the group.
func (e *Elector) View() *View {
	v := &View{
		Group:           e.group,
		Term:            e.term,
		Primary:         NoEndpoint,
		Endpoints:       make([]EndpointView, len(e.members)),
		PositionHistory: e.history,
	}
	for i, m := range e.members {
		v.Endpoints[i] = EndpointView{
			Endpoint:  m.endpoint,
			Status:    m.status,
			SeenAt:    m.answeredAt,
			Reachable: m.hasAnswered() && m.failedProbes == 0,
			Leaving:   m.leaving,
		}
		if m.endpoint.Name == e.primary {
			v.Primary = i
		}
	}
	return v
}

func (e *Elector) issue(cmd Cmd) { e.commands = append(e.commands, cmd) }

func (e *Elector) emit(kind event.Kind, endpoint ident.Endpoint, after event.Kind, note string) {
	e.issue(EmitEvent{Kind: kind, Endpoint: endpoint, After: after, Note: note})
}

func (e *Elector) find(name ident.Endpoint) *member {
	for _, m := range e.members {
		if m.endpoint.Name == name {
			return m
		}
	}
	return nil
}

func (e *Elector) majority() int { return len(e.members)/2 + 1 }

func (e *Elector) setMembers(endpoints []envdoc.Endpoint) {
	assert.That(len(endpoints) <= MaxEndpoints, "GroupFitsAMask", "group %s: %d endpoints", e.group, len(endpoints))
	members := make([]*member, 0, len(endpoints))
	same := len(endpoints) == len(e.members)
	for _, endpoint := range endpoints {
		m := e.find(endpoint.Name)
		if m == nil {
			m, same = &member{}, false
		}
		m.endpoint = endpoint
		members = append(members, m)
	}
	e.members = members
	e.changed = true
	if !same && e.attempt != nil {
		e.abandonAttempt() // its majority was counted among other servers
	}
	if e.find(e.primary) == nil {
		e.primary = ""
	}
}

func (e *Elector) setLeaving(endpoints []ident.Endpoint) {
	for _, m := range e.members {
		m.leaving = contains(endpoints, m.endpoint.Name)
	}
	e.changed = true
}

func contains(names []ident.Endpoint, name ident.Endpoint) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

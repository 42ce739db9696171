package group

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Elector decides, for one group and one instance, who the primary is, when it
// is lost and how the next one is promoted. It touches nothing: messages and
// the present time go in, commands come out. It asserts that the term never
// goes back and that a term is given to one endpoint only.
//
// Terms and the choice among a sealed majority follow the view change of
// Viewstamped Replication (Oki and Liskov, PODC 1988; Liskov and Cowling,
// 2012) and the terms of Raft (Ongaro and Ousterhout, USENIX ATC 2014). The
// instances only propose; the servers of the group hold the terms.
type Elector struct {
	self   ident.Instance
	group  ident.Group
	bounds Bounds
	rules  rules

	members []*member
	place   int

	term      ident.Term
	primary   ident.Endpoint
	adoptedAt time.Time
	trail     []PositionSample
	highest   ident.Term

	lostSince  time.Time
	cutSince   time.Time
	stuckSince time.Time
	leaveSince time.Time
	hurryUntil time.Time
	attempt    *attempt
	retryAt    time.Time
	retries    int
	// returned is true when the latest attempt promoted the primary again.
	returned bool

	now   time.Time
	dirty bool
	out   []Cmd
}

// NewElector returns an Elector for group as the document describes it.
func NewElector(self ident.Instance, group envdoc.Group, bounds Bounds) *Elector {
	w := &Elector{self: self, group: group.Name, bounds: bounds, rules: allRules}
	w.setMembers(group.Endpoints)
	return w
}

// Update takes one message at the present time and returns what to do, in
// order.
func (w *Elector) Update(msg Msg, now time.Time) []Cmd {
	w.wake(now)
	w.now, w.out, w.dirty = now, nil, false
	before := w.term
	w.apply(msg)
	w.decide()
	if w.term < before {
		assert.That(false, "GroupTermNeverGoesBack", "group %s: term %d after %d", w.group, w.term, before)
	}
	if w.dirty {
		w.put(Publish{View: w.View()})
	}
	return w.out
}

func (w *Elector) apply(msg Msg) {
	switch m := msg.(type) {
	case Tick:
	case DocumentChanged:
		w.setMembers(m.Group.Endpoints)
	case LeavingChanged:
		w.setLeaving(m.Endpoints)
	case RankChanged:
		w.place = m.Place
	case StatusSeen:
		w.statusSeen(m)
	case ProbeFailed:
		w.probeFailed(m)
	case Observed:
		w.observed(m)
	case WorkFailed:
		w.workFailed(m)
	case PeerStateReceived:
		w.heard(m)
	case SealDone:
		w.sealDone(m)
	case PromoteDone:
		w.promoteDone(m)
	case FollowDone:
		w.followDone(m)
	}
}

// decide draws the conclusions from what is known now.
func (w *Elector) decide() {
	w.judge()
	w.advance()
	w.guide()
	w.probe()
}

// View returns a snapshot of what is known.
func (w *Elector) View() *View {
	v := &View{
		Group:           w.group,
		Term:            w.term,
		Primary:         NoEndpoint,
		Endpoints:       make([]EndpointView, len(w.members)),
		PositionHistory: w.trail,
	}
	for i, m := range w.members {
		v.Endpoints[i] = EndpointView{
			Endpoint:  m.endpoint,
			Status:    m.status,
			SeenAt:    m.answered,
			Reachable: m.known() && m.failed == 0,
			Leaving:   m.leaving,
		}
		if m.endpoint.Name == w.primary {
			v.Primary = i
		}
	}
	return v
}

func (w *Elector) put(cmd Cmd) { w.out = append(w.out, cmd) }

func (w *Elector) emit(kind event.Kind, endpoint ident.Endpoint, after event.Kind, note string) {
	w.put(EmitEvent{Kind: kind, Endpoint: endpoint, After: after, Note: note})
}

func (w *Elector) find(name ident.Endpoint) *member {
	for _, m := range w.members {
		if m.endpoint.Name == name {
			return m
		}
	}
	return nil
}

func (w *Elector) majority() int { return len(w.members)/2 + 1 }

func (w *Elector) setMembers(endpoints []envdoc.Endpoint) {
	assert.That(len(endpoints) <= MaxEndpoints, "GroupFitsAMask", "group %s: %d endpoints", w.group, len(endpoints))
	members := make([]*member, 0, len(endpoints))
	same := len(endpoints) == len(w.members)
	for _, e := range endpoints {
		m := w.find(e.Name)
		if m == nil {
			m, same = &member{}, false
		}
		m.endpoint = e
		members = append(members, m)
	}
	w.members = members
	w.dirty = true
	if !same && w.attempt != nil {
		w.giveUp() // its majority was of other servers
	}
	if w.find(w.primary) == nil {
		w.primary = ""
	}
}

func (w *Elector) setLeaving(endpoints []ident.Endpoint) {
	for _, m := range w.members {
		m.leaving = contains(endpoints, m.endpoint.Name)
	}
	w.dirty = true
}

func contains(names []ident.Endpoint, name ident.Endpoint) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

package group

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

var epoch = time.Unix(1_000_000, 0)

var (
	errTimeout = errors.New("timeout")
	errRefused = errors.New("connection refused")
)

// proxy runs one Elector, writes through its View and checks floors.
type proxy struct {
	host
	sim     *sim
	elector *Elector
	view    *View
	slow    time.Duration // added to the time of each Status reply
	wrote   int
}

func newSim(seed uint64, servers, proxies int, disable func(*safeguards)) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, ackedAt: epoch,
		disconnectedUntil: map[pair]time.Time{}, primaries: map[ident.Term]*server{},
	}
	s.followRestarts = seed%2 == 1
	doc := envdoc.Group{Name: "orders"}
	for i := range servers {
		n := &server{host: host{name: fmt.Sprintf("server-%d", i)}, sim: s, role: ReplicaRole, primaryHeard: epoch}
		s.servers = append(s.servers, n)
		doc.Endpoints = append(doc.Endpoints, envdoc.Endpoint{Name: ident.Endpoint(n.name), Address: n.name, Slots: 2})
		s.every(&n.host, 5*time.Millisecond, n.fetch)
	}
	for i := range proxies {
		p := &proxy{host: host{name: fmt.Sprintf("proxy-%d", i)}, sim: s}
		p.elector = NewElector(ident.Instance(p.name), doc, DefaultBounds())
		if disable != nil {
			disable(&p.elector.safeguards)
		}
		p.view = p.elector.View()
		s.proxies = append(s.proxies, p)
		s.schedule(&p.host, 0, func() { p.update(RankChanged{Rank: i, Total: proxies}) })
		s.every(&p.host, 10*time.Millisecond, func() { p.update(Tick{}) })
		s.every(&p.host, 20*time.Millisecond, p.write)
		s.every(&p.host, 200*time.Millisecond, p.floor)
	}
	return s
}

func (s *sim) server(name string) *server {
	for _, n := range s.servers {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (p *proxy) update(msg Msg) {
	defer func() {
		if r := recover(); r != nil {
			p.sim.fail("%v", r)
		}
	}()
	for _, c := range p.elector.Update(msg, p.sim.now) {
		p.execute(c)
	}
}

// call sends a request to a server and its reply back. reply runs exactly once,
// with the server's reply or the timeout.
func (p *proxy) call(name ident.Endpoint, extra time.Duration, op func(*server) (Status, error), reply func(Status, error)) {
	s, n, done := p.sim, p.sim.server(string(name)), false
	once := func(st Status, err error) {
		if !done {
			done = true
			reply(st, err)
		}
	}
	s.schedule(&p.host, p.elector.bounds.CallTimeout, func() { once(Status{}, errTimeout) })
	if s.now.Before(n.downUntil) && !s.now.Before(s.disconnectedUntil[pair{p.name, n.name}]) && !s.silentCrashes {
		s.schedule(&p.host, 2*time.Millisecond, func() { once(Status{}, errRefused) })
	}
	s.send(&p.host, &n.host, func() {
		st, err := op(n)
		s.schedule(&n.host, extra, func() { s.send(&n.host, &p.host, func() { once(st, err) }) })
	})
}

func (p *proxy) status(name ident.Endpoint, reply func(Status, error)) {
	p.call(name, p.slow, func(n *server) (Status, error) { return n.status(), nil }, reply)
}

func (p *proxy) execute(cmd Cmd) {
	s := p.sim
	switch c := cmd.(type) {
	case Probe:
		began := s.now
		p.status(c.Endpoint, func(st Status, err error) {
			if err != nil {
				p.update(ProbeFailed{Endpoint: c.Endpoint, Began: began, Refused: errors.Is(err, errRefused)})
				return
			}
			p.update(ProbeAnswered{Endpoint: c.Endpoint, Status: st, Began: began})
		})
	case Seal:
		p.call(c.Endpoint, 0, func(n *server) (Status, error) { return n.seal(c.Term) }, func(st Status, err error) {
			p.update(SealDone{Endpoint: c.Endpoint, Term: c.Term, Status: st, Err: err})
		})
	case Promote:
		p.call(c.Endpoint, 0, func(n *server) (Status, error) { return n.promote(c.Term) }, func(st Status, err error) {
			p.update(PromoteDone{Endpoint: c.Endpoint, Term: c.Term, Status: st, Err: err})
		})
	case Follow:
		p.call(c.Endpoint, 0, func(n *server) (Status, error) {
			return Status{}, n.follow(c.Term, s.server(c.Address))
		}, func(_ Status, err error) {
			p.update(FollowDone{Endpoint: c.Endpoint, Term: c.Term, Err: err})
		})
	case Announce:
		for _, o := range s.proxies {
			if o != p {
				state := peer.GroupState{Group: "orders", Term: c.Term, Primary: c.Primary}
				s.send(&p.host, &o.host, func() { o.update(PeerStateReceived{State: state}) })
			}
		}
	case EmitEvent:
		s.events = append(s.events, c.Kind)
	case Publish:
		p.view = c.View
	}
}

func (p *proxy) write() {
	c := p.view.Choose(Requirements{Write: true}, p.sim.now)
	if c.Index == NoEndpoint {
		return
	}
	name := p.view.Endpoints[c.Index].Endpoint.Name
	n := p.sim.server(string(name))
	p.wrote++
	id := p.wrote<<8 | int(p.name[len(p.name)-1])
	p.sim.send(&p.host, &n.host, func() {
		var answer Msg = RequestFailed{Endpoint: name, Term: c.Term}
		if n.write(c.Term, id) {
			answer = StatusObserved{Endpoint: name, Status: n.status()}
		}
		p.sim.send(&n.host, &p.host, func() { p.update(answer) })
	})
}

// floor queries all servers and checks that the highest position of a majority
// covers every write acknowledged before.
func (p *proxy) floor() {
	t, acked, done := newFloorTally(p.view), lastOf(p.sim.acked), false
	for i := range p.view.Endpoints {
		name := p.view.Endpoints[i].Endpoint.Name
		p.status(name, func(st Status, err error) {
			t.add(floorReply{endpoint: name, status: st, err: err})
			if !done && t.majority() && !t.position.Covers(acked) {
				p.sim.fail("floor %v of a majority does not cover %v", t.position, acked)
			}
			done = done || t.majority()
		})
	}
}

// unsettled reports what is missing for a complete group, which has one primary
// that all others replicate from and every View names; empty for none.
func (s *sim) unsettled() string {
	for _, n := range s.servers {
		if n == s.primary && !n.isPrimary(s.primaryTerm) {
			return fmt.Sprintf("%s is not the primary of its term %d, sealed %d", n.name, n.term, n.sealed)
		}
		if n != s.primary && (n.term != s.primaryTerm || n.sealed > n.term || s.now.Sub(n.primaryHeard) > 100*time.Millisecond) {
			return fmt.Sprintf("%s does not replicate: term %d sealed %d", n.name, n.term, n.sealed)
		}
	}
	for _, p := range s.proxies {
		if p.view.Term != s.primaryTerm || string(p.view.PrimaryName()) != s.primary.name {
			return fmt.Sprintf("%s sees term %d primary %q", p.name, p.view.Term, p.view.PrimaryName())
		}
	}
	return ""
}

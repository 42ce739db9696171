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

// proxy runs one Elector, writes through its View and asks for floors.
type proxy struct {
	host
	sim   *sim
	watch *Elector
	view  *View
	slow  time.Duration // added to the answers of Status
	wrote int
}

func newSim(seed uint64, servers, proxies int, off func(*rules)) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, ackedAt: epoch,
		cuts: map[pair]time.Time{}, reigns: map[ident.Term]*server{},
	}
	s.startsAnew = seed%2 == 1
	doc := envdoc.Group{Name: "orders"}
	for i := range servers {
		n := &server{host: host{name: fmt.Sprintf("server-%d", i)}, sim: s, role: ReplicaRole, heard: epoch}
		s.servers = append(s.servers, n)
		doc.Endpoints = append(doc.Endpoints, envdoc.Endpoint{Name: ident.Endpoint(n.name), Address: n.name, Slots: 2})
		s.every(&n.host, 5*time.Millisecond, n.fetch)
	}
	for i := range proxies {
		p := &proxy{host: host{name: fmt.Sprintf("proxy-%d", i)}, sim: s}
		p.watch = NewElector(ident.Instance(p.name), doc, DefaultBounds())
		if off != nil {
			off(&p.watch.rules)
		}
		p.view = p.watch.View()
		s.proxies = append(s.proxies, p)
		s.on(&p.host, 0, func() { p.update(RankChanged{Place: i, Of: proxies}) })
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
	for _, c := range p.watch.Update(msg, p.sim.now) {
		p.carryOut(c)
	}
}

// call carries a request to a server and its answer back; exactly one answer
// or the timeout reaches reply.
func (p *proxy) call(name ident.Endpoint, extra time.Duration, op func(*server) (Status, error), reply func(Status, error)) {
	s, n, done := p.sim, p.sim.server(string(name)), false
	once := func(st Status, err error) {
		if !done {
			done = true
			reply(st, err)
		}
	}
	s.on(&p.host, p.watch.bounds.CallTimeout, func() { once(Status{}, errTimeout) })
	if s.now.Before(n.downUntil) && !s.now.Before(s.cuts[pair{p.name, n.name}]) && !s.silentDeaths {
		s.on(&p.host, 2*time.Millisecond, func() { once(Status{}, errRefused) })
	}
	s.send(&p.host, &n.host, func() {
		st, err := op(n)
		s.on(&n.host, extra, func() { s.send(&n.host, &p.host, func() { once(st, err) }) })
	})
}

func (p *proxy) status(name ident.Endpoint, reply func(Status, error)) {
	p.call(name, p.slow, func(n *server) (Status, error) { return n.status(), nil }, reply)
}

func (p *proxy) carryOut(cmd Cmd) {
	s := p.sim
	switch c := cmd.(type) {
	case Probe:
		began := s.now
		p.status(c.Endpoint, func(st Status, err error) {
			if err != nil {
				p.update(ProbeFailed{Endpoint: c.Endpoint, Began: began, Refused: errors.Is(err, errRefused)})
				return
			}
			p.update(StatusSeen{Endpoint: c.Endpoint, Status: st, Began: began})
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
		var answer Msg = WorkFailed{Endpoint: name, Term: c.Term}
		if n.write(c.Term, id) {
			answer = Observed{Endpoint: name, Status: n.status()}
		}
		p.sim.send(&n.host, &p.host, func() { p.update(answer) })
	})
}

// floor asks all servers and checks that what a majority answers covers every
// write acknowledged before.
func (p *proxy) floor() {
	t, acked, done := newTally(p.view), lastOf(p.sim.acked), false
	for i := range p.view.Endpoints {
		name := p.view.Endpoints[i].Endpoint.Name
		p.status(name, func(st Status, err error) {
			t.add(floorAnswer{endpoint: name, status: st, err: err})
			if !done && t.majority() && !t.mark.Covers(acked) {
				p.sim.fail("floor %v of a majority does not cover %v", t.mark, acked)
			}
			done = done || t.majority()
		})
	}
}

// settled reports what is missing for a whole group: one primary, all others
// replicating from it, and every View naming it.
func (s *sim) settled() string {
	for _, n := range s.servers {
		if n == s.top && !n.leads(s.topTerm) {
			return fmt.Sprintf("%s does not lead its term %d, sealed %d", n.name, n.term, n.sealed)
		}
		if n != s.top && (n.term != s.topTerm || n.sealed > n.term || s.now.Sub(n.heard) > 100*time.Millisecond) {
			return fmt.Sprintf("%s does not replicate: term %d sealed %d", n.name, n.term, n.sealed)
		}
	}
	for _, p := range s.proxies {
		if p.view.Term != s.topTerm || string(p.view.PrimaryName()) != s.top.name {
			return fmt.Sprintf("%s sees term %d primary %q", p.name, p.view.Term, p.view.PrimaryName())
		}
	}
	return ""
}

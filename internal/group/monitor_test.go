package group

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// network connects the simulated servers without the event queue of sim: a
// replica holds the log of its primary as long as the primary is alive.
type network struct {
	mu   sync.Mutex
	dead *server
}

// remoteServer implements Server for a simulated server; a dead one never
// answers.
type remoteServer struct {
	*network
	server *server
}

func (r remoteServer) call(ctx context.Context, op func() (Status, error)) (Status, error) {
	time.Sleep(time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead == r.server {
		r.mu.Unlock()
		<-ctx.Done()
		r.mu.Lock()
		return Status{}, ctx.Err()
	}
	r.server.sim.now = time.Now()
	if p := r.server.source; p != nil && p != r.dead {
		r.server.primaryHeard, r.server.log = time.Now(), p.log
	}
	return op()
}

func (r remoteServer) Status(ctx context.Context) (Status, error) {
	return r.call(ctx, func() (Status, error) { return r.server.status(), nil })
}

func (r remoteServer) Seal(ctx context.Context, term ident.Term) (Status, error) {
	return r.call(ctx, func() (Status, error) { return r.server.seal(term) })
}

func (r remoteServer) Promote(ctx context.Context, term ident.Term) (Status, error) {
	return r.call(ctx, func() (Status, error) { return r.server.promote(term) })
}

func (r remoteServer) Follow(ctx context.Context, term ident.Term, primary string) error {
	_, err := r.call(ctx, func() (Status, error) {
		return Status{}, r.server.follow(term, r.server.sim.server(primary))
	})
	return err
}

func TestMonitorPromotesAndSharesFloorRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSim(1, 3, 0, nil)
		doc := envdoc.Group{Name: "orders"}
		servers := map[ident.Endpoint]remoteServer{}
		net := &network{}
		for _, n := range s.servers {
			name := ident.Endpoint(n.name)
			doc.Endpoints = append(doc.Endpoints, envdoc.Endpoint{Name: name, Address: n.name})
			servers[name] = remoteServer{network: net, server: n}
		}
		log := event.NewLog("proxy-0", 100)
		promoted := make(chan ident.Endpoint, 9)
		m := NewMonitor("proxy-0", doc, func(e ident.Endpoint) Server { return servers[e] },
			WithEvents(log), WithPromoted(func(_ ident.Term, p ident.Endpoint) { promoted <- p }))
		defer func() { g.Expect(m.Close()).To(Succeed()) }()
		<-m.Changed()
		first := m.View().PrimaryName()
		g.Expect(first).To(Equal(<-promoted))

		var wait sync.WaitGroup
		time.Sleep(3 * time.Second)
		before := m.metrics.floorRounds.Get()
		for range 50 {
			wait.Go(func() {
				position, err := m.Floor(context.Background(), time.Now())
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(position).To(Equal(ident.LogPosition{Term: m.View().Term, Position: 1}))
			})
		}
		wait.Wait()
		g.Expect(m.metrics.floorRounds.Get() - before).To(BeNumerically("<=", 2))

		net.mu.Lock()
		net.dead = servers[first].server
		net.mu.Unlock()
		lost := time.Now()
		m.Failed(first, m.View().Term, lost)
		<-m.Changed()
		g.Expect(time.Since(lost)).To(BeNumerically("<", maxGap))
		g.Expect(m.View().PrimaryName()).NotTo(Equal(first))
		_, err := m.Floor(context.Background(), time.Now())
		g.Expect(err).NotTo(HaveOccurred())

		records, _ := log.Since(0)
		last := records[len(records)-1]
		for last.Cause != (event.Ref{}) {
			last = records[last.Cause.Sequence-1]
		}
		g.Expect(last.Kind).To(Equal(PrimaryLost))
	})
}

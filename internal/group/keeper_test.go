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

// network joins the simulated servers in place of their own event queue: a
// replica holds what its primary holds as long as that lives.
type network struct {
	mu   sync.Mutex
	dead *server
}

// remote is the port of a simulated server; a dead one answers nothing.
type remote struct {
	*network
	server *server
}

func (r remote) call(ctx context.Context, op func() (Status, error)) (Status, error) {
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
		r.server.heard, r.server.log = time.Now(), p.log
	}
	return op()
}

func (r remote) Status(ctx context.Context) (Status, error) {
	return r.call(ctx, func() (Status, error) { return r.server.status(), nil })
}

func (r remote) Seal(ctx context.Context, term ident.Term) (Status, error) {
	return r.call(ctx, func() (Status, error) { return r.server.seal(term) })
}

func (r remote) Promote(ctx context.Context, term ident.Term) (Status, error) {
	return r.call(ctx, func() (Status, error) { return r.server.promote(term) })
}

func (r remote) Follow(ctx context.Context, term ident.Term, primary string) error {
	_, err := r.call(ctx, func() (Status, error) {
		return Status{}, r.server.follow(term, r.server.sim.server(primary))
	})
	return err
}

func TestKeeperPromotesAndSharesFloors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSim(1, 3, 0, nil)
		doc := envdoc.Group{Name: "orders"}
		ports := map[ident.Endpoint]remote{}
		net := &network{}
		for _, n := range s.servers {
			name := ident.Endpoint(n.name)
			doc.Endpoints = append(doc.Endpoints, envdoc.Endpoint{Name: name, Address: n.name})
			ports[name] = remote{network: net, server: n}
		}
		log := event.NewLog("proxy-0", 100)
		told := make(chan ident.Endpoint, 9)
		k := NewMonitor("proxy-0", doc, func(e ident.Endpoint) Server { return ports[e] },
			WithEvents(log), WithPromoted(func(_ ident.Term, p ident.Endpoint) { told <- p }))
		defer func() { g.Expect(k.Close()).To(Succeed()) }()
		<-k.Changed()
		first := k.View().PrimaryName()
		g.Expect(first).To(Equal(<-told))

		var wait sync.WaitGroup
		time.Sleep(3 * time.Second)
		before := k.gauges.floorRounds.Get()
		for range 50 {
			wait.Go(func() {
				mark, err := k.Floor(context.Background(), time.Now())
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(mark).To(Equal(ident.LogPosition{Term: k.View().Term, Position: 1}))
			})
		}
		wait.Wait()
		g.Expect(k.gauges.floorRounds.Get() - before).To(BeNumerically("<=", 2))

		net.mu.Lock()
		net.dead = ports[first].server
		net.mu.Unlock()
		lost := time.Now()
		k.Failed(first, k.View().Term, lost)
		<-k.Changed()
		g.Expect(time.Since(lost)).To(BeNumerically("<", gapBound))
		g.Expect(k.View().PrimaryName()).NotTo(Equal(first))
		_, err := k.Floor(context.Background(), time.Now())
		g.Expect(err).NotTo(HaveOccurred())

		records, _ := log.Since(0)
		last := records[len(records)-1]
		for last.Cause != (event.Ref{}) {
			last = records[last.Cause.Sequence-1]
		}
		g.Expect(last.Kind).To(Equal(PrimaryLost))
	})
}

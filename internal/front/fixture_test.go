package front

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/acct"
	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const farAhead ident.Position = 1 << 60

// openAdmitter admits every request, but refuses while the counter refuse is
// positive and decrements it with each request.
type openAdmitter struct {
	acct.Admitter
	refuse *atomic.Int32
}

func (openAdmitter) Login(r ident.Route, a ident.Account, _ string, _ time.Time) (acct.Identity, error) {
	return acct.Identity{Route: r, Account: a}, nil
}
func (openAdmitter) Check(*acct.Identity, time.Time) error { return nil }
func (a openAdmitter) SpendWait(context.Context, *acct.Identity, time.Time) error {
	if a.refuse != nil && a.refuse.Add(-1) >= 0 {
		return fault.Refuse(fault.OverLimit, time.Second, "refused by the test")
	}
	return nil
}
func (openAdmitter) Refund(*acct.Identity, time.Time) {}
func (openAdmitter) Weight(*acct.Identity) int        { return 1 }

// staticMonitor always returns the same View, in which every replica has caught
// up, so that the preconditions checked by the endpoints decide.
type staticMonitor struct {
	view   *group.View
	failed atomic.Int32 // calls of Failed
}

func (m *staticMonitor) View() *group.View                                             { return m.view }
func (*staticMonitor) Floor(context.Context, time.Time) (m ident.LogPosition, _ error) { return m, nil }
func (m *staticMonitor) Failed(ident.Endpoint, ident.Term, time.Time)                  { m.failed.Add(1) }
func (*staticMonitor) Observe(ident.Endpoint, group.Status, time.Time)                 {}
func (*staticMonitor) Changed() <-chan struct{}                                        { return nil }

// fixture is a server in front of three simulated endpoints.
type fixture struct {
	server    *Server
	endpoints []*endpt.Server
	monitor   *staticMonitor
	refuse    *atomic.Int32
	address   string
}

func newFixture(t testing.TB, change func(*Options)) *fixture {
	g := NewWithT(t)
	servers := startEndpoints(t)
	view, pools := &group.View{Group: "g", Term: endpt.FirstTerm}, map[ident.Endpoint]*back.Pool{}
	for i, s := range servers {
		e := envdoc.Endpoint{Name: ident.Endpoint(fmt.Sprint("e", i)), Address: s.Addr(), Slots: 8, Connections: 16}
		status := group.Status{Term: endpt.FirstTerm, Role: group.ReplicaRole, Last: ident.LogPosition{Term: endpt.FirstTerm, Position: farAhead}}
		if i == 0 {
			status.Role = group.PrimaryRole
		}
		view.Endpoints = append(view.Endpoints, group.EndpointView{Endpoint: e, Status: status, SeenAt: time.Now(), Reachable: true})
		pools[e.Name] = back.NewPool(e, back.Credentials{User: "proxy"}, e.Connections, back.NewFIFO(100))
	}
	refuse := new(atomic.Int32)
	monitor := &staticMonitor{view: view}
	control := back.NewControl(view.Endpoints[0].Endpoint, back.Credentials{User: "proxy"})
	confirmer := back.NewConfirmer(func(ident.Term) group.Server { return control })
	table := &RouteTable{}
	table.Set([]*Route{{
		Route: envdoc.Route{Name: "r", Access: envdoc.Open, Durability: envdoc.Majority},
		Group: &Group{Name: "g", Monitor: monitor, Pools: pools, Confirmer: confirmer},
	}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	options := DefaultOptions()
	options.AllowPlain = true
	change(&options)
	s := &fixture{endpoints: servers, monitor: monitor, refuse: refuse, server: NewServer(l, openAdmitter{refuse: refuse}, table, event.NewLog("i", 10), options), address: l.Addr().String()}
	s.server.Start()
	t.Cleanup(func() {
		g.Expect(s.server.Close()).To(Succeed())
		g.Expect(confirmer.Close()).To(Succeed())
		g.Expect(control.Close()).To(Succeed())
		for _, p := range pools {
			g.Expect(p.Close()).To(Succeed())
		}
	})
	return s
}

func startEndpoints(t testing.TB) []*endpt.Server {
	servers, err := endpt.StartGroup(context.Background(), endpt.Config{Slots: 8, Connections: 100}, "e0", "e1", "e2")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		for _, s := range servers {
			_ = s.Close()
		}
	})
	return servers
}

func dial(t testing.TB, address, options string) *pgx.Conn {
	conn, err := pgx.Connect(context.Background(), fmt.Sprintf("postgres://u@%s/r?%s", address, options))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

const plain = "sslmode=disable"

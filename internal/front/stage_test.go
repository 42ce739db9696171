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

// openGate allows everything, but for the requests that refuse counts.
type openGate struct {
	acct.Admitter
	refuse *atomic.Int32
}

func (openGate) Login(r ident.Route, a ident.Account, _ string, _ time.Time) (acct.Identity, error) {
	return acct.Identity{Route: r, Account: a}, nil
}
func (openGate) Check(*acct.Identity, time.Time) error { return nil }
func (g openGate) SpendWait(context.Context, *acct.Identity, time.Time) error {
	if g.refuse != nil && g.refuse.Add(-1) >= 0 {
		return fault.Refuse(fault.OverLimit, time.Second, "refused by the test")
	}
	return nil
}
func (openGate) Refund(*acct.Identity, time.Time) {}
func (openGate) Weight(*acct.Identity) int        { return 1 }

// stillKeeper takes every replica for caught up, so that the endpoints' own
// checks decide.
type stillKeeper struct {
	view   *group.View
	failed atomic.Int32 // reports that an endpoint could not be used
}

func (k *stillKeeper) View() *group.View                                             { return k.view }
func (*stillKeeper) Floor(context.Context, time.Time) (m ident.LogPosition, _ error) { return m, nil }
func (k *stillKeeper) Failed(ident.Endpoint, ident.Term, time.Time)                  { k.failed.Add(1) }
func (*stillKeeper) Observe(ident.Endpoint, group.Status, time.Time)                 {}
func (*stillKeeper) Changed() <-chan struct{}                                        { return nil }

// stage is a server in front of three endpoint stand-ins.
type stage struct {
	server  *Server
	keeper  *stillKeeper
	refuse  *atomic.Int32
	address string
}

func newStage(t testing.TB, change func(*Options)) *stage {
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
	keeper := &stillKeeper{view: view}
	control := back.NewControl(view.Endpoints[0].Endpoint, back.Credentials{User: "proxy"})
	confirmer := back.NewConfirmer(func(ident.Term) group.Server { return control })
	table := &Table{}
	table.Set([]*Route{{
		Route: envdoc.Route{Name: "r", Access: envdoc.Open, Durability: envdoc.Majority},
		Group: &Group{Name: "g", Monitor: keeper, Pools: pools, Confirmer: confirmer},
	}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	options := DefaultOptions()
	options.AllowPlain = true
	change(&options)
	s := &stage{keeper: keeper, refuse: refuse, server: NewServer(l, openGate{refuse: refuse}, table, event.NewLog("i", 10), options), address: l.Addr().String()}
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

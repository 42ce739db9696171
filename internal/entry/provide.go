package entry

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/acct"
	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/conf"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/fleet"
	"github.com/marjoramrudder/marjoramrudder/internal/front"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// The providers below build the components of a Proxy. wire.go lists them.

func provideEvents(s *conf.Settings) *event.Log { return event.NewLog(s.Instance, maxEventRecords) }

func providePlatform(s *conf.Settings) (*store.Platform, error) { return store.Open(s.Platform) }

func provideMesh(s *conf.Settings, start startID, router *peer.Router, events *event.Log) (*peer.Mesh, error) {
	listener, err := net.Listen("tcp", s.Listen.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	hello := peer.Hello{Instance: s.Instance, Environment: s.Environment, Start: ident.Incarnation(start)}
	options, err := peerTLS(s.TLS)
	if err != nil {
		return nil, errors.CombineErrors(err, listener.Close())
	}
	return peer.NewMesh(hello, listener, s.Peers.Secret, router, events, options...)
}

// adminListener is the socket of the administration server.
type adminListener struct{ net.Listener }

func provideAdminListener(s *conf.Settings) (adminListener, error) {
	l, err := net.Listen("tcp", s.Listen.Admin)
	return adminListener{l}, errors.Wrap(err, "listen for administration")
}

// startID distinguishes successive processes of the same instance name.
type startID uint64

func provideStart() startID { return startID(time.Now().UnixNano()) }

func provideFleet(s *conf.Settings, start startID, platform *store.Platform, mesh *peer.Mesh, listener adminListener, events *event.Log) *fleet.Fleet {
	self := store.Member{
		Instance:   s.Instance,
		DataCentre: s.DataCentre,
		Peer:       mesh.Address(),
		Admin:      listener.Addr().String(),
		Start:      uint64(start),
	}
	deps := fleet.Dependencies{
		Documents: platform.Documents,
		Members:   platform.Members,
		Directory: platform.Directory,
		Mesh:      mesh,
		Log:       events,
		Parse:     envdoc.Parse,
	}
	return fleet.New(self, s.Environment, deps)
}

func provideAccounts(s *conf.Settings, platform *store.Platform, mesh *peer.Mesh, events *event.Log) *acct.Runner {
	return acct.NewRunner(s.Instance, s.Environment, platform.Leases, mesh, events, acct.WithLease(s.Limits.LeaseLength.Std()))
}

func provideGroups(s *conf.Settings, platform *store.Platform, mesh *peer.Mesh, events *event.Log, table *front.RouteTable, policies Policies) *Groups {
	credentials := back.Credentials{User: s.Backend.User, Password: s.Backend.Password, Database: s.Backend.User}
	limits := acct.FairQueueLimits{MaxWait: s.Limits.QueueWait.Std(), PerAccount: waitersPerAccount}
	newWaitQueue := policies.NewWaitQueue
	if newWaitQueue == nil {
		newWaitQueue = func() back.WaitQueue { return back.NewFairQueue(limits) }
	}
	return NewGroups(s.Instance, s.Environment, credentials, events, mesh, platform.TermRecords, table, newWaitQueue)
}

// waitersPerAccount limits how many requests of one client account may wait for
// one endpoint.
const waitersPerAccount = 512

func provideFront(s *conf.Settings, accounts *acct.Runner, fleet *fleet.Fleet, table *front.RouteTable, events *event.Log, policies Policies) (*front.Server, error) {
	options := front.DefaultOptions()
	options.MaxCallers = s.Limits.Callers
	options.RequestTimeout = s.Limits.RequestTimeout.Std()
	options.DataCentre = s.DataCentre
	options.AllowPlain = s.TLS.AllowPlain
	options.ReadsAtPrimary = policies.ReadsAtPrimary
	var err error
	if options.TLS, err = callerTLS(s.TLS); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	var admitter acct.Admitter = accounts.Admission()
	if policies.NewAdmitter != nil {
		admitter = policies.NewAdmitter(admitter)
	}
	return front.NewServer(listener, trustGuard{Admitter: admitter, documentTrusted: fleet.Trusted}, table, events, options), nil
}

func provideRouteTable() *front.RouteTable { return &front.RouteTable{} }

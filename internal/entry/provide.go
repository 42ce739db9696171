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
)

// The providers below build the parts of a Proxy; wire.go lists them.

func provideEvents(s *conf.Settings) *event.Log { return event.NewLog(s.Instance, eventRecords) }

func providePlatform(s *conf.Settings) (*store.Platform, error) { return store.Open(s.Platform) }

func provideMesh(s *conf.Settings, started start, router *peer.Router, events *event.Log) (*peer.Mesh, error) {
	listener, err := net.Listen("tcp", s.Listen.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	hello := peer.Hello{Instance: s.Instance, Environment: s.Environment, Start: uint64(started)}
	options, err := peerTLS(s.TLS)
	if err != nil {
		return nil, errors.CombineErrors(err, listener.Close())
	}
	return peer.NewMesh(hello, listener, s.Peers.Secret, router, events, options...)
}

// start tells the processes of one instance name apart.
type start uint64

func provideStart() start { return start(time.Now().UnixNano()) }

func provideFleet(s *conf.Settings, started start, platform *store.Platform, mesh *peer.Mesh, events *event.Log) *fleet.Fleet {
	self := store.Member{
		Instance:   s.Instance,
		DataCentre: s.DataCentre,
		Peer:       s.Listen.Peers,
		Admin:      s.Listen.Admin,
		Start:      uint64(started),
	}
	ports := fleet.Ports{
		Documents: platform.Documents,
		Members:   platform.Members,
		Directory: platform.Directory,
		Mesh:      mesh,
		Log:       events,
		Parse:     envdoc.Parse,
	}
	return fleet.New(self, s.Environment, ports)
}

func provideQuota(s *conf.Settings, platform *store.Platform, mesh *peer.Mesh, events *event.Log) *acct.Runner {
	return acct.NewRunner(s.Instance, s.Environment, platform.Leases, mesh, events, acct.WithLease(s.Limits.LeaseLength.Std()))
}

func provideSites(s *conf.Settings, platform *store.Platform, mesh *peer.Mesh, events *event.Log, table *front.Table, policies Policies) *Sites {
	creds := back.Credentials{User: s.Backend.User, Password: s.Backend.Password, Database: s.Backend.User}
	limits := acct.FairQueueLimits{MaxWait: s.Limits.QueueWait.Std(), PerAccount: waitersPerAccount}
	newLine := policies.NewWaitQueue
	if newLine == nil {
		newLine = func() back.WaitQueue { return back.NewFairQueue(limits) }
	}
	return NewSites(s.Instance, s.Environment, creds, events, mesh, platform.TermRecords, table, newLine)
}

// waitersPerAccount bounds how many requests of one client account wait for
// one endpoint.
const waitersPerAccount = 512

func provideFront(s *conf.Settings, quota *acct.Runner, fleet *fleet.Fleet, table *front.Table, events *event.Log, policies Policies) (*front.Server, error) {
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
	var gate acct.Admitter = quota.Admission()
	if policies.NewAdmitter != nil {
		gate = policies.NewAdmitter(gate)
	}
	return front.NewServer(listener, guard{Admitter: gate, trusted: fleet.Trusted}, table, events, options), nil
}

func provideTable() *front.Table { return &front.Table{} }

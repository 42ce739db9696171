package lead

import (
	"testing"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// simRestarts makes all instances of a simulation start again at random times. The
// directory may have lapsed in an outage of the store; its entries then return in a
// random order.
type simRestarts struct {
	lapsed map[ident.Endpoint]bool
	count  int
}

// maxEntryReturn is the longest time until the entry of a server that is alive is
// back.
const maxEntryReturn = 2 * time.Second

// inject restarts all instances, on average each four seconds.
func (r *simRestarts) inject(s *sim) {
	if r == nil || !s.chance(200) {
		return
	}
	r.count++
	s.logf("all instances restart")
	if s.chance(2) {
		r.lapseEntries(s)
	}
	owner := s.random.IntN(2)
	for i := range s.electors {
		s.electors[i], s.announced[i] = New(), PrimaryChanged{}
		s.send(i, ReplicationRules{SyncReplicas: 1})
		s.publish(i)
		s.send(i, Ownership{Owner: i == owner || s.chance(3)})
	}
}

func (r *simRestarts) lapseEntries(s *sim) {
	for _, id := range simIDs {
		r.lapsed[id] = true
		s.schedule(time.Duration(s.random.Int64N(int64(maxEntryReturn))), func() {
			delete(r.lapsed, id)
			s.logf("the entry of %s is back", id)
			s.publishAll()
		})
	}
}

// isLapsed reports whether the entry of a server is missing.
func (r *simRestarts) isLapsed(id ident.Endpoint) bool { return r != nil && r.lapsed[id] }

// TestRestartsBesideOutageLoseNoCommit guards against the promotion of the replica
// whose entry returns first after a restart of all instances, although it lags and the
// primary is alive.
func TestRestartsBesideOutageLoseNoCommit(t *testing.T) {
	assert.Fatal()
	var all []*simRestarts
	promotions := runSeeds(t, func(s *sim) {
		s.restarts = &simRestarts{lapsed: make(map[ident.Endpoint]bool)}
		all = append(all, s.restarts)
	})
	restarts := 0
	for _, r := range all {
		restarts += r.count
	}
	if promotions < simSeeds()/2 || restarts < 5*simSeeds() {
		t.Fatalf("only %d promotions and %d restarts in %d runs", promotions, restarts, simSeeds())
	}
}

package lead

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// simEvacuations requests and withdraws evacuations at random. It has a source
// of random numbers of its own, so that the other faults of a seed stay the same.
type simEvacuations struct {
	random    *rand.Rand
	evacuated map[ident.Endpoint]bool
}

// newEvacuationSim returns a simulation with evacuations.
func newEvacuationSim(t *testing.T, seed uint64) *sim {
	s := newSim(t, seed)
	s.evacuations = &simEvacuations{random: rand.New(rand.NewPCG(seed, 11)), evacuated: make(map[ident.Endpoint]bool)}
	return s
}

// inject changes the request for the data centre of a random server. Each
// instance learns of it immediately or with its next directory.
func (v *simEvacuations) inject(s *sim) {
	if v == nil || s.quiet || v.random.IntN(100) != 0 {
		return
	}
	id := simIDs[v.random.IntN(len(simIDs))]
	if v.random.IntN(3) == 0 {
		for _, e := range s.servers {
			if e.isPrimary {
				id = e.id
			}
		}
	}
	v.evacuated[id] = !v.evacuated[id]
	s.logf("evacuated %s: %v", id, v.evacuated[id])
	for i := range s.electors {
		if v.random.IntN(3) > 0 {
			s.publish(i)
		}
	}
}

// request evacuates the data centre of a server. All instances learn of it.
func (v *simEvacuations) request(s *sim, id ident.Endpoint) {
	v.evacuated[id] = true
	s.publishAll()
}

// requestNext makes the first of the requests that are due and not made yet.
func (v *simEvacuations) requestNext(s *sim, all []evacuationRequest) {
	for _, e := range all {
		if !s.now.Before(e.at) && !v.contains(e.id) {
			v.request(s, e.id)
			return
		}
	}
}

// withdrawAll withdraws all requests. All instances learn of it.
func (v *simEvacuations) withdrawAll(s *sim) {
	if len(v.evacuated) > 0 {
		clear(v.evacuated)
		s.publishAll()
	}
}

// contains reports whether the data centre of a server is evacuated.
func (v *simEvacuations) contains(id ident.Endpoint) bool { return v != nil && v.evacuated[id] }

// TestEvacuationsLoseNoCommit requests and withdraws evacuations, of several
// data centres at once and during changes of the primary, among the other
// faults. It guards against a switch that drops an acknowledged commit.
func TestEvacuationsLoseNoCommit(t *testing.T) {
	assert.Fatal()
	for _, restart := range []bool{false, true} {
		switches, abandoned := 0, 0
		for seed := range uint64(simSeeds()) {
			s := newEvacuationSim(t, seed)
			s.restartWhilePending = restart
			s.run()
			text := strings.Join(s.log, "\n")
			switches += strings.Count(text, "its data centre is evacuated")
			abandoned += strings.Count(text, "the data centre of the successor is evacuated")
		}
		t.Logf("%d switches, %d abandoned targets", switches, abandoned)
		if switches < simSeeds() || abandoned == 0 {
			t.Fatalf("only %d switches and %d abandoned targets in %d runs", switches, abandoned, simSeeds())
		}
	}
}

// TestEvacuationRegressionSeeds runs seeds that lost commits in earlier versions.
func TestEvacuationRegressionSeeds(t *testing.T) {
	assert.Fatal()
	for _, seed := range []uint64{
		1924, // a repeated promotion was accepted without effect, and its first copy took effect later
		3026, // an accepted promotion took effect after a late copy of an earlier one with another target
	} {
		s := newEvacuationSim(t, seed)
		s.restartWhilePending = true
		s.run()
	}
}

// replacementBound is the time in which an evacuated primary has to be replaced:
// EvacuationTime less the time for which callers wait for the new primary.
const replacementBound = 3 * time.Second

// TestEvacuatedPrimaryIsReplacedInTime evacuates the primary of a group without
// faults, and in half of the runs a replica as well during the switch. It guards
// against a switch that takes longer than the evacuated primary may be used.
func TestEvacuatedPrimaryIsReplacedInTime(t *testing.T) {
	assert.Fatal()
	var longest time.Duration
	for seed := range uint64(simSeeds()) {
		s := newEvacuationSim(t, seed)
		s.quiet = true
		for range 100 {
			s.step()
		}
		s.evacuations.request(s, "a")
		requested, second := s.now, s.now.Add(time.Duration(s.evacuations.random.IntN(600))*time.Millisecond)
		replica := simIDs[1+s.evacuations.random.IntN(2)]
		for primary := s.announced[0]; !primary.Usable || s.evacuations.contains(primary.Endpoint); primary = s.announced[0] {
			if seed%2 == 0 && !s.evacuations.contains(replica) && !s.now.Before(second) {
				s.evacuations.request(s, replica)
			}
			s.step()
			if took := s.now.Sub(requested); took > replacementBound {
				t.Fatalf("seed %d: %s is still the primary after %s:\n%s", seed, s.announced[0].Endpoint, took, strings.Join(s.log, "\n"))
			}
		}
		longest = max(longest, s.now.Sub(requested))
	}
	t.Logf("an evacuated primary is replaced within %s", longest)
}

// withdrawnBound is the longest time without an acknowledged commit while
// evacuations are requested and withdrawn: a promotion after a switch that was
// given up.
const withdrawnBound = time.Second

// TestWithdrawnEvacuationsKeepWrites evacuates the primary of a group without
// faults, and a replica during the switch, and withdraws both requests. It guards
// against replicas that stay sealed while the primary is announced as taking
// writes.
func TestWithdrawnEvacuationsKeepWrites(t *testing.T) {
	assert.Fatal()
	requireWrites(t, func(s *sim) (evacuations []evacuationRequest, withdrawn time.Time) {
		random := s.evacuations.random
		second := s.now.Add(time.Duration(random.IntN(600)) * time.Millisecond)
		withdrawn = second.Add(time.Duration(random.IntN(800)) * time.Millisecond)
		return []evacuationRequest{{second, simIDs[1+random.IntN(2)]}}, withdrawn
	})
}

// TestWithdrawnEvacuationOfAllKeepsWrites evacuates the primary of a group without
// faults, then one replica and the other one during the switch, and withdraws the
// requests. It guards against replicas that stay sealed although no switch goes on.
func TestWithdrawnEvacuationOfAllKeepsWrites(t *testing.T) {
	assert.Fatal()
	requireWrites(t, func(s *sim) (evacuations []evacuationRequest, withdrawn time.Time) {
		random := s.evacuations.random
		second := s.now.Add(time.Duration(random.IntN(600)) * time.Millisecond)
		third := second.Add(time.Duration(random.IntN(300)) * time.Millisecond)
		withdrawn = third.Add(time.Duration(random.IntN(800)) * time.Millisecond)
		return []evacuationRequest{{third, "c"}, {second, "b"}}, withdrawn
	})
}

// evacuationRequest is a request to evacuate the data centre of a server.
type evacuationRequest struct {
	at time.Time
	id ident.Endpoint
}

// requireWrites evacuates the primary of a group without faults and then what plan
// returns, withdraws all requests at the time that it returns, and fails if no commit
// is acknowledged for withdrawnBound. A step makes one request at most, the first of
// those that are due.
func requireWrites(t *testing.T, plan func(s *sim) (evacuations []evacuationRequest, withdrawn time.Time)) {
	t.Helper()
	var longest time.Duration
	for seed := range uint64(simSeeds()) {
		s := newEvacuationSim(t, seed)
		s.quiet = true
		for range 100 {
			s.step()
		}
		s.evacuations.request(s, "a")
		evacuations, withdrawn := plan(s)
		acked, ackedAt := len(s.acked), s.now
		for end := withdrawn.Add(5 * time.Second); s.now.Before(end); {
			s.step()
			if !s.now.Before(withdrawn) {
				s.evacuations.withdrawAll(s)
			} else {
				s.evacuations.requestNext(s, evacuations)
			}
			if len(s.acked) > acked {
				acked, ackedAt = len(s.acked), s.now
			}
			longest = max(longest, s.now.Sub(ackedAt))
			if longest > withdrawnBound {
				t.Fatalf("seed %d: no commit was acknowledged for %s:\n%s", seed, longest, strings.Join(s.log, "\n"))
			}
		}
	}
	t.Logf("a commit is acknowledged every %s", longest)
}

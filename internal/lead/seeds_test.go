package lead

import (
	"os"
	"strconv"
	"testing"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
)

// seedsVariable names the environment variable that sets the number of seeds.
const seedsVariable = "LEAD_SEEDS"

// simSeeds returns the number of seeds that the simulation runs.
func simSeeds() int {
	n, err := strconv.Atoi(os.Getenv(seedsVariable))
	if err != nil {
		return 200
	}
	return n
}

// uncertainBound is the most commits of which the outcome may be reported as
// unknown although a replica holds them: one in so many.
const uncertainBound = 100

// runSeeds simulates all seeds and returns the number of promotions. Commits
// that are reported as unknown are not checked, so they must be few.
func runSeeds(t *testing.T, change func(*sim)) (promotions int) {
	acked, uncertain := 0, 0
	for seed := range uint64(simSeeds()) {
		s := newSim(t, seed)
		change(s)
		s.run()
		promotions += s.promotions
		acked += len(s.acked)
		uncertain += s.uncertain
	}
	if uncertain*uncertainBound > acked {
		t.Fatalf("%d commits of unknown outcome, %d acknowledged", uncertain, acked)
	}
	return promotions
}

// TestNoAcknowledgedCommitIsLost simulates random faults: servers crash or are
// partitioned, replication is cut, two instances own the group at the same
// time, and promotions take effect late. No server restarts while a promotion
// is pending; TestRestartDuringPendingPromotion covers that case.
func TestNoAcknowledgedCommitIsLost(t *testing.T) {
	assert.Fatal()
	promotions := runSeeds(t, func(*sim) {})
	if promotions < simSeeds() {
		t.Fatalf("only %d promotions in %d runs", promotions, simSeeds())
	}
}

// TestRestartDuringPendingPromotion restarts sealed replicas, which thereby
// lose their seals, while a promotion by another instance is pending.
func TestRestartDuringPendingPromotion(t *testing.T) {
	assert.Fatal()
	runSeeds(t, func(s *sim) { s.restartWhilePending = true })
}

// TestBusyServersLoseNoCommit guards against a refused probe or seal that counts as
// an answer with the state of the server, and against a dead primary that is never
// replaced because its replicas are busy.
func TestBusyServersLoseNoCommit(t *testing.T) {
	assert.Fatal()
	promotions := runSeeds(t, func(s *sim) { s.busyServers = true })
	if promotions < simSeeds()/2 {
		t.Fatalf("only %d promotions in %d runs", promotions, simSeeds())
	}
}

// TestSealAboveUnknownTerm covers an instance that does not know of a later
// primary because no replica that it reaches knows either. Its seals used to be
// too low.
func TestSealAboveUnknownTerm(t *testing.T) {
	assert.Fatal()
	newSim(t, 401).run()
}

// TestRegressionSeeds runs seeds that lost commits in earlier versions.
func TestRegressionSeeds(t *testing.T) {
	assert.Fatal()
	for _, seed := range []uint64{
		119,  // a departed replica did not count although its replacement was receiving
		1178, // the directory listed a primary of an unknown later term
		2069, // only another instance knew the newest term
		3245, // a seal was lost between the choice of the target and the arrival of the epoch
		4867, // a late copy of a promotion took effect with the epoch of a later one
	} {
		newSim(t, seed).run()
	}
	for _, seed := range []uint64{
		9,     // commits went to the old primary after a promotion was requested
		77,    // a promotion without an answer was abandoned when the ownership changed
		178,   // the promoting instance itself wrote to the old primary
		805,   // a sealed replica restarted during a planned switch whose promotion took effect late
		3997,  // a copy of a refused promotion took effect late
		14119, // a late promotion of an earlier term followed one that had taken effect
		16825, // as 14119, between the new term and the next progress report
		729,   // another instance wrote to the old primary in the meantime
		1188,  // two instances requested promotions at the same time
	} {
		s := newSim(t, seed)
		s.restartWhilePending = true
		s.run()
	}
}

// TestCommitInFlightAndRestart covers a commit that is in flight when a
// promotion is requested. A replica that restarts within 40 ms of the request,
// and thereby loses its seal, acknowledges the commit.
func TestCommitInFlightAndRestart(t *testing.T) {
	assert.Fatal()
	s := newSim(t, 1474)
	s.restartWhilePending = true
	s.run()
}

// TestSwitchoverDuringPeerPromotion covers an instance that replaces a draining
// primary while a promotion by another instance is pending. The instance used
// to continue writing to the old primary.
func TestSwitchoverDuringPeerPromotion(t *testing.T) {
	assert.Fatal()
	s := newSim(t, 1009)
	s.restartWhilePending = true
	s.run()
}

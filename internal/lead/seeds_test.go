package lead

import (
	"os"
	"strconv"
	"testing"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
)

// seedsVariable asks for more plays than the usual ones.
const seedsVariable = "LEAD_SEEDS"

// simSeeds returns how many seeds the simulation plays.
func simSeeds() int {
	n, err := strconv.Atoi(os.Getenv(seedsVariable))
	if err != nil {
		return 200
	}
	return n
}

// TestNoAcknowledgedCommitIsLost plays faults at random: servers crash, are deaf
// and cut off, two instances both keep the group, promotions come late. A
// server does not start anew while a promotion is pending; that case is
// TestRestartUnderLatePromotion.
func TestNoAcknowledgedCommitIsLost(t *testing.T) {
	assert.Fatal()
	moves := 0
	for seed := range uint64(simSeeds()) {
		s := newSim(t, seed)
		s.run()
		moves += s.moves
	}
	if moves < simSeeds() {
		t.Fatalf("only %d changes of primary in %d plays", moves, simSeeds())
	}
}

// TestRestartUnderLatePromotion lets a sealed replica start anew, and so lose
// its seal, while a promotion that another instance ordered is still pending.
func TestRestartUnderLatePromotion(t *testing.T) {
	assert.Fatal()
	for seed := range uint64(simSeeds()) {
		s := newSim(t, seed)
		s.late = true
		s.run()
	}
}

// TestSealUnderUnknownTerm plays a case in which an instance has not heard of a
// later primary, as no replica that it reaches has: its seals lay too low.
func TestSealUnderUnknownTerm(t *testing.T) {
	assert.Fatal()
	newSim(t, 401).run()
}

// TestSeedsThatFailed plays what earlier versions of the keeper failed.
func TestSeedsThatFailed(t *testing.T) {
	assert.Fatal()
	for _, seed := range []uint64{
		119,  // a replica that left was not counted though its successor received
		1178, // the directory named a primary of an unknown later term
		2069, // a term that only another instance knew
		3245, // a seal was lost between the order and its epoch
		4867, // a late copy of an order came with the epoch of a later one
	} {
		newSim(t, seed).run()
	}
	for _, seed := range []uint64{
		9,    // commits went to the old primary after its replacement was ordered
		77,   // an order without an answer was left alone as the role changed
		178,  // the instance that ordered wrote to the old primary itself
		729,  // another instance wrote to the old primary meanwhile
		1188, // two instances ordered at the same time
	} {
		s := newSim(t, seed)
		s.late = true
		s.run()
	}
}

// TestCommitInFlightAndRestart plays a commit that was on its way as a
// promotion was ordered, acknowledged by a replica that started anew, and so
// lost its seal, within 40 ms of the order.
func TestCommitInFlightAndRestart(t *testing.T) {
	assert.Fatal()
	s := newSim(t, 1474)
	s.late = true
	s.run()
}

// TestSwitchUnderAnothersOrder plays an instance that replaces a leaving primary
// at leisure, and once went on writing to it, while another one's order is open.
func TestSwitchUnderAnothersOrder(t *testing.T) {
	assert.Fatal()
	s := newSim(t, 1009)
	s.late = true
	s.run()
}

package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

func TestMain(m *testing.M) {
	assert.Fatal()
	goleak.VerifyTestMain(m)
}

const simSpan = 300 * time.Second

// runSeed runs one random simulation and returns its first failure.
func runSeed(seed uint64, disabled safeguard) (s *simulation, failure string) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		if failure = fmt.Sprint(r); !strings.HasPrefix(failure, "invariant violated") {
			panic(r)
		}
	}()
	s = newSimulation(seed, 3+int(seed%6), disabled)
	var edit func()
	edit = func() {
		s.proposeChange(s.random.IntN(len(s.nodes)))
		if s.random.IntN(3) == 0 { // two operators make concurrent changes
			s.proposeChange(s.random.IntN(len(s.nodes)))
		}
		s.after(time.Duration(s.random.IntN(12_000))*time.Millisecond, edit)
	}
	s.after(time.Second, edit)
	s.after(20*time.Second, s.scheduleFault)
	s.run(simSpan)
	if len(s.failures) > 0 {
		return s, s.failures[0]
	}
	return s, ""
}

// seeds returns the number of seeds to run: 24, or FLEET_SEEDS if it is set.
func seeds() uint64 {
	n, err := strconv.ParseUint(os.Getenv("FLEET_SEEDS"), 10, 32)
	if err != nil {
		return 24
	}
	return n
}

func TestDocumentTrackerBounds(t *testing.T) {
	g := NewWithT(t)
	accepted, byMajority := 0, 0
	for seed := range seeds() {
		s, failure := runSeed(seed, 0)
		g.Expect(failure).To(BeEmpty(), "seed %d", seed)
		accepted += len(s.accepted)
		byMajority += s.byMajority
	}
	t.Logf("%d versions accepted, %d checks passed because of contacts alone", accepted, byMajority)
	g.Expect(accepted).To(BeNumerically(">", 0))
	g.Expect(byMajority).To(BeNumerically(">", 0))
}

func TestDocumentTrackerNeedsMechanism(t *testing.T) {
	for name, disabled := range map[string]safeguard{
		"RisingVersions":    risingVersions,
		"RoundTripEvidence": roundTripEvidence,
		"EvidenceExpiry":    evidenceExpiry,
		"AnnounceWrites":    announceWrites,
		"PushHeads":         pushHeads | announceWrites, // without heads no announcement is known to half
		"SettleAfterStart":  settleAfterStart,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				if _, failure := runSeed(seed, disabled); failure != "" {
					t.Logf("seed %d: %s", seed, failure)
					return
				}
			}
			t.Error("the simulation does not need this safeguard")
		})
	}
}

// A peer reports a version but does not send the text: the next attempt
// requests it from the next peer that has it and from the store.
func TestFetchTriesNextSource(t *testing.T) {
	g := NewWithT(t)
	tracker := NewDocumentTracker("a", 1, parseSim, DefaultBounds(), 1, simEpoch)
	now := simEpoch
	update := func(m Msg) []Cmd {
		var requests []Cmd
		for _, c := range tracker.Update(m, now) {
			switch c.(type) {
			case RequestText, ReadText:
				requests = append(requests, c)
			}
		}
		return requests
	}
	tick := Tick{Connected: []ident.Instance{"b", "c"}}
	head := peer.Head{Version: 5, Digest: digestOf(simText(5)), Start: 1}
	update(tick)
	g.Expect(update(HeadReceived{From: "c", Head: head})).To(Equal([]Cmd{RequestText{To: "c", Version: 5}}))
	g.Expect(update(HeadReceived{From: "b", Head: head})).To(BeEmpty())
	now = now.Add(DefaultBounds().Fetch)
	g.Expect(update(tick)).To(Equal([]Cmd{RequestText{To: "b", Version: 5}, ReadText{Version: 5}}))
	now = now.Add(DefaultBounds().Fetch)
	g.Expect(update(tick)).To(Equal([]Cmd{RequestText{To: "c", Version: 5}, ReadText{Version: 5}}))
	g.Expect(update(TextReceived{From: "b", Version: 5, Text: []byte("forged")})).To(BeEmpty())
	g.Expect(tracker.Version()).To(BeZero())
	update(TextReceived{From: "c", Version: 5, Text: simText(5)})
	g.Expect(tracker.Version()).To(Equal(ident.Version(5)))
}

// The reply to a read is late: the next read starts while it is running, and at
// most maxConcurrentReads run.
func TestHeadReadsOverlap(t *testing.T) {
	g := NewWithT(t)
	tracker := NewDocumentTracker("a", 1, parseSim, DefaultBounds(), 1, simEpoch)
	reads := 0
	for at := simEpoch; at.Before(simEpoch.Add(propagationBound)); at = at.Add(tickInterval) {
		for _, c := range tracker.Update(Tick{}, at) {
			if _, ok := c.(ReadHead); ok {
				reads++
			}
		}
		if at.Sub(simEpoch) == 2*DefaultBounds().Overlap {
			g.Expect(reads).To(Equal(2))
		}
	}
	g.Expect(reads).To(Equal(maxConcurrentReads))
}

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
func runSeed(seed uint64, off mechanism) (s *simulation, failure string) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		if failure = fmt.Sprint(r); !strings.HasPrefix(failure, "invariant broken") {
			panic(r)
		}
	}()
	s = newSimulation(seed, 3+int(seed%6), off)
	var edit func()
	edit = func() {
		s.operate(s.random.IntN(len(s.nodes)))
		if s.random.IntN(3) == 0 { // operators race
			s.operate(s.random.IntN(len(s.nodes)))
		}
		s.after(time.Duration(s.random.IntN(12_000))*time.Millisecond, edit)
	}
	s.after(time.Second, edit)
	s.after(20*time.Second, s.disturb)
	s.run(simSpan)
	if len(s.failures) > 0 {
		return s, s.failures[0]
	}
	return s, ""
}

// seeds returns the range of seeds: fixed ones in CI, more by FLEET_SEEDS.
func seeds() uint64 {
	n, err := strconv.ParseUint(os.Getenv("FLEET_SEEDS"), 10, 32)
	if err != nil {
		return 24
	}
	return n
}

func TestSpreadKeepsPromises(t *testing.T) {
	g := NewWithT(t)
	accepted, byMajority := 0, 0
	for seed := range seeds() {
		s, failure := runSeed(seed, 0)
		g.Expect(failure).To(BeEmpty(), "seed %d", seed)
		accepted += len(s.accepted)
		byMajority += s.byMajority
	}
	t.Logf("%d versions accepted, %d checks passed on contacts alone", accepted, byMajority)
	g.Expect(accepted).To(BeNumerically(">", 0))
	g.Expect(byMajority).To(BeNumerically(">", 0))
}

func TestSpreadFailsWithoutMechanism(t *testing.T) {
	for name, off := range map[string]mechanism{
		"ForwardOnly":   forwardOnly,
		"RoundTrip":     roundTrip,
		"EvidenceBound": evidenceBound,
		"Announcing":    announcing,
		"Pushing":       pushing | announcing, // nothing is accepted without either
		"Settling":      settling,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				if _, failure := runSeed(seed, off); failure != "" {
					t.Logf("seed %d: %s", seed, failure)
					return
				}
			}
			t.Error("the simulation does not need this mechanism")
		})
	}
}

// TestSpreadAsksTheNextSource covers a version that is told by a peer that
// does not give the text: the next holder and the store are asked at the next
// turn.
func TestSpreadAsksTheNextSource(t *testing.T) {
	g := NewWithT(t)
	s := NewDocumentTracker("a", 1, parseSim, DefaultBounds(), 1, simEpoch)
	now := simEpoch
	update := func(m Msg) []Cmd {
		var asks []Cmd
		for _, c := range s.Update(m, now) {
			switch c.(type) {
			case AskText, ReadText:
				asks = append(asks, c)
			}
		}
		return asks
	}
	tick := Tick{Connected: []ident.Instance{"b", "c"}}
	head := peer.Head{Version: 5, Digest: digestOf(simText(5)), Start: 1}
	update(tick)
	g.Expect(update(HeadHeard{From: "c", Head: head})).To(Equal([]Cmd{AskText{To: "c", Version: 5}}))
	g.Expect(update(HeadHeard{From: "b", Head: head})).To(BeEmpty())
	now = now.Add(DefaultBounds().Fetch)
	g.Expect(update(tick)).To(Equal([]Cmd{AskText{To: "b", Version: 5}, ReadText{Version: 5}}))
	now = now.Add(DefaultBounds().Fetch)
	g.Expect(update(tick)).To(Equal([]Cmd{AskText{To: "c", Version: 5}, ReadText{Version: 5}}))
	g.Expect(update(TextGiven{From: "b", Version: 5, Text: []byte("forged")})).To(BeEmpty())
	g.Expect(s.Version()).To(BeZero())
	update(TextGiven{From: "c", Version: 5, Text: simText(5)})
	g.Expect(s.Version()).To(Equal(ident.Version(5)))
}

// TestSpreadReadsOverlap covers a read whose answer is late: the next one
// begins beside it, and at most maxReads run.
func TestSpreadReadsOverlap(t *testing.T) {
	g := NewWithT(t)
	s := NewDocumentTracker("a", 1, parseSim, DefaultBounds(), 1, simEpoch)
	reads := 0
	for at := simEpoch; at.Before(simEpoch.Add(promise)); at = at.Add(tickInterval) {
		for _, c := range s.Update(Tick{}, at) {
			if _, ok := c.(ReadHead); ok {
				reads++
			}
		}
		if at.Sub(simEpoch) == 2*DefaultBounds().Overlap {
			g.Expect(reads).To(Equal(2))
		}
	}
	g.Expect(reads).To(Equal(maxReads))
}

package load

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startDirect starts an endpoint that callers use directly, without a proxy. It
// does not deduplicate requests.
func startDirect(t *testing.T) (*endpt.Server, Config) {
	g := NewWithT(t)
	servers, err := endpt.StartGroup(context.Background(), endpt.Config{Slots: 4, Connections: 64}, "a")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { g.Expect(servers[0].Close()).To(Succeed()) })
	return servers[0], Config{
		Proxies: []string{servers[0].Addr()},
		Accounts: []Account{
			{Name: "shop", Rate: 1000, Burst: 1000, Offered: 200},
			{Name: "chain", Rate: 1000, Burst: 1000, Offered: 100, Surge: Surge{Until: time.Second, Factor: 2}},
		},
		Targets:  []Target{{Group: "orders", Orders: "orders", Lookups: "orders"}},
		Duration: time.Second, Seed: 1, Sessions: 2, Roam: 0.1,
	}
}

func TestRunCountsEveryRequest(t *testing.T) {
	g := NewWithT(t)
	_, c := startDirect(t)
	g.Expect(Fill(context.Background(), c)).To(Succeed())
	r, err := Run(context.Background(), c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Violations.Sum()).To(BeZero(), "%v", r.Violations.Examples)
	for _, rows := range [][]Row{r.Kinds, r.Accounts} {
		var all int
		for _, w := range rows {
			g.Expect(w.Answered).To(BeNumerically(">", 0))
			g.Expect(w.Answered + w.NotRun + w.Failed + w.Unknown).To(Equal(w.Sent))
			all += w.Sent + w.Unsent
		}
		g.Expect(all).To(BeNumerically("~", 400, 100), "requests of Poisson processes with 400 expected in total")
	}
	var out bytes.Buffer
	g.Expect(r.Print(&out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("violated guarantees"))
}

// TestDetectsRepeatWithoutRequestIdentifiers checks that the check fails if
// requests are not deduplicated: the endpoint runs the repeated order twice.
func TestDetectsRepeatWithoutRequestIdentifiers(t *testing.T) {
	g := NewWithT(t)
	s, c := startDirect(t)
	c.Mix = Mix{Orders: 1}
	losses := int64(3)
	s.SetFaults(endpt.Faults{LoseAnswers: &losses})
	r, err := Run(context.Background(), c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Violations.DuplicateOrders).To(BeNumerically(">", 0))
}

func TestArrivalsAreDeterministicForASeed(t *testing.T) {
	g := NewWithT(t)
	_, c := startDirect(t)
	c.Mix = DefaultMix
	x, y := newArrivals(&c, 1), newArrivals(&c, 1)
	c.Seed = 2
	z := newArrivals(&c, 1)
	a, b, d := x.next(), y.next(), z.next()
	g.Expect(a).To(Equal(b))
	g.Expect(a).NotTo(Equal(d))
}

func TestWriteHistoryFindsViolations(t *testing.T) {
	g := NewWithT(t)
	l := newWriteHistory()
	for id, o := range map[string]Outcome{"lost": Answered, "twice": Answered, "ran": NotRun, "open": Unknown, "fine": Answered} {
		l.record(Order, id, o)
	}
	for id, o := range map[string]Outcome{"half": Unknown, "gone": Answered, "good": Answered, "kept": Failed} {
		l.record(Booking, id, o)
	}
	var v Violations
	l.check(storedIDs{
		orders:    map[string]int{"twice": 2, "ran": 1, "fine": 1},
		bookings:  map[string]int{"half": 1, "good": 1, "kept": 1},
		movements: map[string]int{"good": 1, "kept": 1},
	}, &v)
	v.Examples = nil
	g.Expect(v).To(Equal(Violations{LostOrders: 1, DuplicateOrders: 1, RefusedRan: 2, PartialBookings: 1, LostBookings: 1}))
}

func TestOnlyRefusalsWithinQuotaAreWrongful(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	m := newQuotaMeter(&Account{Rate: 10, Burst: 2}, now)
	g.Expect(m.spend(now)).To(BeTrue())
	g.Expect(m.spend(now)).To(BeTrue())
	g.Expect(m.spend(now)).To(BeFalse(), "beyond the burst")
	g.Expect(m.spend(now.Add(150*time.Millisecond))).To(BeFalse(), "the proxies may count other requests")
	g.Expect(m.spend(now.Add(500 * time.Millisecond))).To(BeTrue())
	refused := result{NotRun, fault.OverLimit}
	g.Expect(wrongful(refused, true)).To(BeTrue())
	g.Expect(wrongful(refused, false)).To(BeFalse())
}

func TestUnsentStatementIsClassifiedNotRun(t *testing.T) {
	g := NewWithT(t)
	err := errors.New("order: failed to deallocate cached statement(s): conn closed")
	g.Expect(classify(err)).To(Equal(result{NotRun, ConnLost}))
	g.Expect(classify(errors.New("order: conn closed"))).To(Equal(result{Unknown, ConnLost}))
}

func TestGapCountsTheTimeAfterTheLastWrite(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	w := &ackTimes{}
	w.add(start.Add(3 * time.Second))
	w.add(start.Add(time.Second))
	g.Expect(w.longestGap("orders", start, 4*time.Second)).To(Equal(Gap{Group: "orders", Writes: 2, Longest: 2, From: 1}))
	g.Expect((&ackTimes{}).longestGap("orders", start, 4*time.Second).Longest).To(Equal(4.0))
}

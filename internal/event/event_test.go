package event_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

func TestRingKeepsTheLatest(t *testing.T) {
	g := NewWithT(t)
	l := event.NewLog("p1", 4)
	for i := range 10 {
		l.Emit(time.Unix(int64(i), 0), "Kind", event.Subject{}, event.Ref{}, "")
	}
	records, dropped := l.Since(0)
	g.Expect(dropped).To(Equal(uint64(6)))
	g.Expect(records).To(HaveLen(4))
	g.Expect(records[0].Sequence).To(Equal(uint64(7)))
	g.Expect(records[3].Sequence).To(Equal(uint64(10)))
}

// TestCausesComeFirst checks that causes sort before their effects regardless
// of the clock skew between the processes.
func TestCausesComeFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		logs := []*event.Log{event.NewLog("a", 100), event.NewLog("b", 100), event.NewLog("c", 100)}
		skew := rapid.SliceOfN(rapid.Int64Range(-1000, 1000), 3, 3).Draw(rt, "skew")
		cause, stamp := event.Ref{}, event.Stamp{}
		for i := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			n := rapid.IntRange(0, 2).Draw(rt, "process")
			now := time.Unix(1000, int64(i)+skew[n])
			logs[n].Observe(stamp, now)
			cause = logs[n].Emit(now, "Step", event.Subject{}, cause, "")
			stamp = logs[n].Now(now)
		}
		checkOrder(rt, logs)
	})
}

func checkOrder(rt *rapid.T, logs []*event.Log) {
	var lists [][]event.Record
	for _, l := range logs {
		records, _ := l.Since(0)
		lists = append(lists, records)
	}
	seen := map[event.Ref]bool{}
	for _, r := range event.Merge(lists...) {
		if r.Cause.Instance != ident.Instance("") && !seen[r.Cause] {
			rt.Fatalf("record %v sorts ahead of its cause %v", r.Ref, r.Cause)
		}
		seen[r.Ref] = true
	}
}

package fleet

import (
	"testing"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

var benchInstances = []ident.Instance{"p-0", "p-1", "p-2", "p-3", "p-4", "p-5", "p-6", "p-7"}

func BenchmarkRankOf(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		RankOf("orders", benchInstances, "p-5")
	}
}

func BenchmarkTrusted(b *testing.B) {
	p := newPlatform()
	v := storeView{platform: p, self: "a"}
	f := New(store.Member{Instance: "a", Start: 1}, "trial",
		Dependencies{Documents: v, Members: memberView{v}, Mesh: fakeMesh{v}, Log: event.NewLog("a", 1), Parse: parseFake})
	now := time.Now()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			f.Trusted(now)
		}
	})
}

// BenchmarkHeartbeat measures a heartbeat among 8 instances: a tick that sends
// 7 heads, and the 7 heads that are received.
func BenchmarkHeartbeat(b *testing.B) {
	now := simEpoch
	tracker := NewDocumentTracker("p-0", 1, parseSim, DefaultBounds(), 1, now)
	tracker.Update(KnownChanged{Instances: benchInstances}, now)
	tick := Tick{Connected: benchInstances[1:]}
	var sequence uint64
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(DefaultBounds().Heartbeat)
		sequence++
		tracker.Update(tick, now)
		for _, n := range tick.Connected {
			h := peer.Head{Sequence: sequence, Echo: sequence, Start: 1, EchoStart: 1, Known: true, Settled: true}
			tracker.Update(HeadReceived{From: n, Head: h}, now)
		}
	}
}

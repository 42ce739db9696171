package group

import (
	"slices"
	"testing"
	"time"
)

func BenchmarkElectorTick(b *testing.B) {
	s := newSim(1, 3, 1, nil)
	s.runUntil(epoch.Add(3 * time.Second))
	e, now := s.proxies[0].elector, s.now
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		e.Update(Tick{}, now)
	}
}

// BenchmarkFailover reports the virtual time from the failure of the primary to
// the next acknowledged write.
func BenchmarkFailover(b *testing.B) {
	b.Run("process", func(b *testing.B) { benchmarkFailover(b, false) })
	b.Run("machine", func(b *testing.B) { benchmarkFailover(b, true) })
}

func benchmarkFailover(b *testing.B, silentCrashes bool) {
	var gaps []time.Duration
	for b.Loop() {
		s := newSim(uint64(len(gaps)), 3, 4, nil)
		s.silentCrashes = silentCrashes
		s.runUntil(epoch.Add(3*time.Second + time.Duration(s.rng.Int64N(int64(time.Second)))))
		s.primary.downUntil = s.now.Add(time.Minute)
		s.gap = 0
		s.runUntil(s.now.Add(4 * time.Second))
		gaps = append(gaps, s.gap)
	}
	slices.Sort(gaps)
	b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "max-ms")
}

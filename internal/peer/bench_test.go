package peer

import (
	"strings"
	"testing"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
)

func fullHead() Head {
	return Head{
		Version:      1234,
		Change:       "change-0123456789abcdef",
		Digest:       strings.Repeat("a", 64),
		EvidenceAge:  2 * time.Second,
		Known:        true,
		Announced:    1234,
		AnnouncedAge: time.Hour,
		Settled:      true,
		Sequence:     100_000,
		Echo:         100_000,
		Start:        1 << 60,
		EchoStart:    1 << 60,
		Stamp:        event.Stamp{Wall: 1 << 60, Logical: 3},
		Cause:        event.Ref{Instance: "proxy-7", Sequence: 100_000},
	}
}

func BenchmarkHead(b *testing.B) {
	h := fullHead()
	frame, err := Encode(h)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("Encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = Encode(h)
		}
		b.ReportMetric(float64(len(frame)), "bytes/frame")
	})
	b.Run("Decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = Decode(frame)
		}
	})
}

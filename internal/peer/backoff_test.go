package peer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A link that opened and failed at once was dialled again about twenty times a second
// as long as the cause lasted.
func TestFlappingLinkIsDialledLessOften(t *testing.T) {
	g := NewWithT(t)
	b := redialBackoff{shortest: 50 * time.Millisecond, longest: 500 * time.Millisecond}
	dials := 0
	var at time.Duration
	for at < 5*time.Second {
		dials++
		at += 10*time.Millisecond + b.next(true, 10*time.Millisecond)
	}
	g.Expect(dials).To(BeNumerically("<=", 8))
	g.Expect(b.next(true, stableAfter)).To(Equal(50*time.Millisecond), "the link has lasted")
	g.Expect(b.next(true, 10*time.Millisecond)).To(Equal(50 * time.Millisecond))
}

// A process that restarts is reached soon.
func TestUnreachablePeerIsDialledOften(t *testing.T) {
	g := NewWithT(t)
	b := redialBackoff{shortest: 50 * time.Millisecond, longest: 500 * time.Millisecond}
	for range 20 {
		g.Expect(b.next(false, 0)).To(BeNumerically("<=", 500*time.Millisecond))
	}
	g.Expect(b.next(true, time.Minute)).To(Equal(50 * time.Millisecond))
}

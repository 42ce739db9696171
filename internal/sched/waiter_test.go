package sched

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
)

// A call that is tried again at another endpoint has used part of its target. It
// must not get the whole target again and precede calls that can meet theirs.
func TestTargetCountsFromTheFirstTry(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	call := &engine.Call{Timeout: 800 * time.Millisecond, Target: 150 * time.Millisecond}
	first := newWaiter(now, Acquire{Call: call, Deadline: now.Add(call.Timeout)}, 0)
	g.Expect(first.lateAfter(now, 15*time.Millisecond)).To(BeFalse())
	again := newWaiter(now, Acquire{Call: call, Deadline: now.Add(call.Timeout - 140*time.Millisecond)}, 1)
	g.Expect(again.lateAfter(now, 15*time.Millisecond)).To(BeTrue())
}

// A call without a target, or with one that its place in the queue can't miss, is
// never late.
func TestCallWithDistantTargetIsNeverLate(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	for _, target := range []time.Duration{0, 480 * time.Millisecond, time.Minute} {
		call := &engine.Call{Timeout: 800 * time.Millisecond, Target: target}
		w := newWaiter(now, Acquire{Call: call, Deadline: now.Add(call.Timeout)}, 0)
		g.Expect(w.lateAfter(now.Add(time.Hour), 15*time.Millisecond)).To(BeFalse())
	}
}

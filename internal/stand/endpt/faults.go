package endpt

import (
	"sync/atomic"
	"time"
)

// faults are the failures that the control interface sets.
type faults struct {
	frozen  gate // nothing passes on any connection
	callers gate // nothing passes on connections of callers
	group   gate // replication is cut off

	lag     atomic.Int64 // nanoseconds
	apply   atomic.Int64
	latency atomic.Int64
	slow    atomic.Int64 // added to the service time of each statement
	// cutAnswers and loseAnswers count answers that are still to be hurt.
	cutAnswers  atomic.Int64
	loseAnswers atomic.Int64
	cutAfter    atomic.Int64 // bytes of an answer that is cut
	// watch holds texts that must not arrive from callers.
	watch atomic.Pointer[[]string]
}

func newFaults(c Config) *faults {
	f := &faults{}
	f.lag.Store(int64(c.ReplicationLag))
	f.apply.Store(int64(c.ApplyLag))
	f.latency.Store(int64(c.Latency))
	return f
}

func (f *faults) replicationLag() time.Duration { return time.Duration(f.lag.Load()) }

func (f *faults) applyLag() time.Duration { return time.Duration(f.apply.Load()) }

func (f *faults) callerLatency() time.Duration { return time.Duration(f.latency.Load()) }

func (f *faults) slowness() time.Duration { return time.Duration(f.slow.Load()) }

// cutBytes is how much of an answer gets through before a cut.
func (f *faults) cutBytes() int {
	if n := f.cutAfter.Load(); n > 0 {
		return int(n)
	}
	return defaultCutBytes
}

// takeOne counts v down and reports whether there was something to take.
func takeOne(v *atomic.Int64) bool {
	for {
		n := v.Load()
		if n <= 0 {
			return false
		}
		if v.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

package endpt

import (
	"sync/atomic"
	"time"
)

// faults holds the faults that the control interface injects.
type faults struct {
	frozen  gate // nothing passes on any connection
	callers gate // nothing passes on connections of callers
	group   gate // nothing passes on replication connections

	lag     atomic.Int64 // nanoseconds
	apply   atomic.Int64
	latency atomic.Int64
	slow    atomic.Int64 // added to the service time of each statement
	// cutAnswers and loseAnswers are the numbers of answers that are still to
	// be cut or lost.
	cutAnswers  atomic.Int64
	loseAnswers atomic.Int64
	cutAfter    atomic.Int64 // bytes that are sent of an answer that is cut
	// watch holds the texts that are counted in the input from callers.
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

func (f *faults) extraServiceTime() time.Duration { return time.Duration(f.slow.Load()) }

// cutAnswer returns how many bytes of an answer of the given size are sent.
// An answer that ends before the cut is sent whole and leaves the cut to a
// larger one.
func (f *faults) cutAnswer(size int) int {
	limit := defaultCutBytes
	if n := f.cutAfter.Load(); n > 0 {
		limit = int(n)
	}
	if size > limit && decrement(&f.cutAnswers) {
		return limit
	}
	return size
}

// decrement decrements v if it is positive, and reports whether it was.
func decrement(v *atomic.Int64) bool {
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

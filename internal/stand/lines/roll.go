package lines

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// rollStream separates the random numbers of the rolling stops from those of
	// the other faults.
	rollStream = 0x726f6c6c
	// meanRollPause is the mean time between the starts of two rolling stops,
	// beyond settleTime.
	meanRollPause = 4 * time.Second
	// maxRollGap is the longest time between two stops of a rolling stop, and
	// maxRollSpan the longest time between the first and the last. It is shorter
	// than a stop, so that most of the instances are stopping at the same time.
	maxRollGap  = 800 * time.Millisecond
	maxRollSpan = 4 * time.Second
	// maxFollow is the latest time after SIGTERM at which a stopping instance
	// gets another signal.
	maxFollow = 5500 * time.Millisecond
)

// follows are the faults that hit a stopping instance. An empty one means that
// its stop is not disturbed.
var follows = []string{"", "", "", "", "stop", "stop", "reload", "kill"}

// roller plans rolling stops: several instances are stopped one after the other,
// and some of them get another signal while they stop.
type roller struct {
	random *rand.Rand
	faults []Fault // of the whole plan
}

// planRolls returns the faults of the rolling stops. They spare the instances
// that other faults hit at about the same time, and at least one more.
func planRolls(seed uint64, others []Fault, instances int, length time.Duration) []Fault {
	r := &roller{random: rand.New(rand.NewPCG(seed^rollStream, uint64(length))), faults: slices.Clone(others)}
	end := length - quietEnd
	for at := quietStart; at < end; at += settleTime + time.Duration(r.random.ExpFloat64()*float64(meanRollPause)) {
		r.roll(at, end, instances)
	}
	return r.faults[len(others):]
}

// roll adds one rolling stop that begins at a time. All of its faults come
// before end.
func (r *roller) roll(at, end time.Duration, instances int) {
	targets := r.spared(at, instances)
	if len(targets) < 2 {
		return
	}
	r.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	most := len(targets) - 1
	n := most/2 + 1 + r.random.IntN(most-most/2)
	gap := min(maxRollGap, maxRollSpan/time.Duration(n))
	for _, target := range targets[:n] {
		if at >= end {
			return
		}
		r.faults = append(r.faults, Fault{At: at, Kind: "stop", Instance: target})
		kind := follows[r.random.IntN(len(follows))]
		then := at + time.Duration(r.random.Int64N(int64(maxFollow)))
		if kind != "" && then < end {
			r.faults = append(r.faults, Fault{At: then, Kind: kind, Instance: target})
		}
		at += time.Duration(r.random.Int64N(int64(gap)))
	}
}

// spared returns the instances that no fault hits from settleTime before a
// rolling stop until settleTime after its last possible stop.
func (r *roller) spared(at time.Duration, instances int) []ident.Instance {
	hit := make(map[ident.Instance]bool)
	for _, f := range r.faults {
		if f.At > at-settleTime && f.At < at+maxRollSpan+settleTime {
			hit[f.Instance] = true
		}
	}
	var out []ident.Instance
	for i := range instances {
		if n := instanceName(i); !hit[n] {
			out = append(out, n)
		}
	}
	return out
}

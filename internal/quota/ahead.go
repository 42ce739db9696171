package quota

import (
	"math"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// aheadStep is by how many operations the limit grows each time that all granted
// operations were used. Small steps keep the share of operations that expire unused
// small.
const aheadStep = 0.25

// aheadLimit limits how many operations are requested at once after some of
// them expired unused. The zero value does not limit.
type aheadLimit struct {
	granted ident.Tokens // operations granted since none were left
	limited bool
	size    float64 // the limit in operations, if limited is set
}

// receive records a grant. left operations were available before.
func (l *aheadLimit) receive(left, count ident.Tokens) {
	if left == 0 {
		l.granted = 0
	}
	l.granted += count
}

// expire records that operations expired unused.
func (l *aheadLimit) expire(unused ident.Tokens) {
	used := max(0, float64(l.granted-unused))
	if !l.limited || used < l.size {
		l.size = used
	}
	l.limited = true
}

// recordUsedUp records that no granted operation is left.
func (l *aheadLimit) recordUsedUp() { l.size += aheadStep }

// apply limits a number of operations. The limit ends when it exceeds the number
// that is expected.
func (l *aheadLimit) apply(expected ident.Tokens) ident.Tokens {
	if l.limited && l.size > float64(expected) {
		l.limited = false
	}
	if !l.limited {
		return expected
	}
	return min(expected, ident.Tokens(math.Floor(l.size)))
}

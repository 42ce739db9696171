package spread

import (
	"slices"
	"testing"
)

// The largest gap between callers must shrink with their number. Otherwise many of
// them come back at the same moment.
func TestCallersAreSpreadEvenly(t *testing.T) {
	for _, count := range []int{5, 50, 500} {
		byNumber, bySteps := []float64{0, 1}, []float64{0, 1}
		fraction := 0.3
		for n := range count {
			fraction = Next(fraction)
			bySteps = append(bySteps, fraction)
			byNumber = append(byNumber, Fraction(float64(n+1)))
		}
		for name, all := range map[string][]float64{"Fraction": byNumber, "Next": bySteps} {
			slices.Sort(all)
			for i := range all[1:] {
				if gap := all[i+1] - all[i]; gap > 2.7/float64(count) {
					t.Errorf("%s: %d callers leave a gap of %.4f", name, count, gap)
				}
			}
		}
	}
}

// Package spread distributes callers evenly over an interval whose number is not
// known in advance.
package spread

import (
	"hash/fnv"
	"math"
)

// goldenRatio spaces its successive multiples evenly between whole numbers,
// however many there are.
const goldenRatio = 0.6180339887498949

// Fraction returns the n-th number of an evenly spaced sequence, from zero to below
// one. n may have a fraction.
func Fraction(n float64) float64 {
	_, fraction := math.Modf(n * goldenRatio)
	return fraction
}

// Next returns the number that follows a number of such a sequence.
func Next(fraction float64) float64 {
	_, next := math.Modf(fraction + goldenRatio)
	return next
}

// Of returns a number from zero to below one that differs between names.
func Of(name string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return Fraction(float64(h.Sum32()))
}

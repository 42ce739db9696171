package acct

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// MaxParts is the maximum number of parts into which an account's quota is
// divided.
const MaxParts = 8

// minPartBurst is the minimum burst of a part, in tokens; an account with a
// smaller burst is divided into fewer parts. Small parts waste capacity because
// only whole tokens can be spent: one part is full and gains nothing while
// another holds a fraction of a token.
const minPartBurst = 8

// partNumberBase leaves space in a part's number for the index within its
// division.
const partNumberBase = 16

// division describes how one account's rate and burst are divided into parts.
// The bursts of the parts are whole tokens and sum to the account's burst; the
// rates are equal and sum to at most its rate. When a division is replaced by
// one with the same number of parts, each part grows or shrinks with the
// account, so a mixture of both stays within the larger one. Divisions with
// different numbers of parts must not be spent from at the same time.
type division struct {
	rate  ident.Tokens
	burst ident.Tokens
	parts int
}

func newDivision(rate, burst ident.Tokens) division {
	if rate <= 0 || burst <= 0 {
		return division{}
	}
	return division{rate: rate, burst: burst, parts: int(max(1, min(MaxParts, burst/minPartBurst)))}
}

// burstOf returns the whole tokens that part i can hold.
func (d division) burstOf(i int) ident.Tokens {
	n := ident.Tokens(d.parts)
	return (d.burst + n - 1 - ident.Tokens(i)) / n
}

// interval returns the time in which a part gains one token, rounded up so that
// the parts together never gain more than the account's rate.
func (d division) interval() time.Duration {
	r := time.Duration(d.rate)
	return (time.Duration(d.parts)*time.Second + r - 1) / r
}

// part returns the number under which part i is leased. It contains the number
// of parts, so that rows of different divisions have different keys.
func (d division) part(i int) ident.Part { return ident.Part(d.parts*partNumberBase + i) }

// partsOf returns the number of parts of the division to which a part belongs.
func partsOf(p ident.Part) int { return int(p) / partNumberBase }

// indexOf returns the index of a part within its division.
func indexOf(p ident.Part) int { return int(p) % partNumberBase }

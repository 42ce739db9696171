package acct

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// MaxParts is into how many parts an account's quota is cut at most.
const MaxParts = 8

// leastPart is the burst of a part, in tokens, below which an account is cut
// into fewer parts. Whole tokens in small parts are hard to find: while one
// part is full and gains nothing, another holds the half of a token.
const leastPart = 8

// partBase leaves room for the index within a cut in a part's number.
const partBase = 16

// cut says how one account's rate and burst are divided. The bursts of the
// parts are whole tokens and sum to the account's burst; the rates are equal
// and sum to at most its rate. Between two cuts into the same number of parts
// each part grows or shrinks with the account, so a mix of both stays within
// the larger one. Cuts into different numbers must not spend side by side.
type cut struct {
	rate  ident.Tokens
	burst ident.Tokens
	parts int
}

func newCut(rate, burst ident.Tokens) cut {
	if rate <= 0 || burst <= 0 {
		return cut{}
	}
	return cut{rate: rate, burst: burst, parts: int(max(1, min(MaxParts, burst/leastPart)))}
}

// burstOf returns the whole tokens that part i can hold.
func (c cut) burstOf(i int) ident.Tokens {
	n := ident.Tokens(c.parts)
	return (c.burst + n - 1 - ident.Tokens(i)) / n
}

// interval returns the time in which a part gains one token, rounded up so
// that the parts never gain more than the account's rate.
func (c cut) interval() time.Duration {
	r := time.Duration(c.rate)
	return (time.Duration(c.parts)*time.Second + r - 1) / r
}

// part returns the number under which part i of the cut is leased. The number
// of parts is in it, so rows of different cuts are told apart by their keys.
func (c cut) part(i int) ident.Part { return ident.Part(c.parts*partBase + i) }

// partsOf returns into how many parts the cut of a part was made.
func partsOf(p ident.Part) int { return int(p) / partBase }

// indexOf returns the place of a part in its cut.
func indexOf(p ident.Part) int { return int(p) % partBase }

package sched

import "github.com/marjoramrudder/marjoramrudder/pkg/ident"

// minWeight is the lowest weight of an account, as a fraction of the mean. An
// account with a rate near zero is still served now and then.
const minWeight = 0.01

// class is a set of calls that go before or after all calls of another class.
type class struct {
	late     bool
	priority int
}

// turns shares the grants of each class between the accounts that have calls
// waiting, in proportion to their weights (start-time fair queueing). An account
// gains no credit while it has no calls waiting. A turn is the virtual start time
// of a call, in grants of an account with the mean weight.
type turns struct {
	weights map[ident.Account]float64 // relative to the mean rate
	classes map[class]*classTurns
}

// classTurns are the turns in one class.
type classTurns struct {
	current float64                   // turn of the latest grant
	next    map[ident.Account]float64 // turn after the account's latest grant
}

func newTurns() turns { return turns{classes: make(map[class]*classTurns)} }

// setRates replaces the rates of the accounts, which are their weights.
func (t *turns) setRates(rates map[ident.Account]float64) {
	t.weights = make(map[ident.Account]float64, len(rates))
	sum := 0.0
	for _, r := range rates {
		sum += max(0, r)
	}
	if sum == 0 {
		return
	}
	mean := sum / float64(len(rates))
	for a, r := range rates {
		t.weights[a] = max(minWeight, r/mean)
	}
}

// step returns how far a grant advances the account's next turn. An account
// without a known rate has the mean weight.
func (t *turns) step(a ident.Account) float64 {
	if w, known := t.weights[a]; known {
		return 1 / w
	}
	return 1
}

// first returns the turn of the account's first waiting call of a class.
func (t *turns) first(c class, a ident.Account) float64 {
	k := t.classes[c]
	if k == nil {
		return 0
	}
	return max(k.current, k.next[a])
}

// granted records a grant to the account.
func (t *turns) granted(c class, a ident.Account) {
	k := t.classes[c]
	if k == nil {
		k = &classTurns{next: make(map[ident.Account]float64)}
		t.classes[c] = k
	}
	k.current = t.first(c, a)
	k.next[a] = k.current + t.step(a)
}

package load

import (
	"math/rand/v2"
	"time"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	Order   Kind = "order"   // one statement with a request identifier
	Lookup  Kind = "lookup"  // rows of stock, on the lookup route
	OwnRead Kind = "ownread" // the session's last order, on the order route
	Booking Kind = "booking" // a transaction of two writes
)

var kinds = []Kind{Order, Lookup, OwnRead, Booking}

// arrival is one request of the open loop.
type arrival struct {
	at     time.Duration // since the start
	kind   Kind
	target int
	row    uint64 // selects the rows
	number int    // within the account
}

// arrivals generates the requests of one account: a Poisson process whose rate
// changes during a surge. The same seed generates the same requests.
type arrivals struct {
	rng     *rand.Rand
	account *Account
	mix     Mix
	targets int
	at      time.Duration
	number  int
}

func newArrivals(c *Config, account int) *arrivals {
	return &arrivals{
		rng:     rand.New(rand.NewPCG(c.Seed, uint64(account))),
		account: &c.Accounts[account],
		mix:     c.Mix,
		targets: len(c.Targets),
	}
}

// next returns the next arrival.
func (a *arrivals) next() arrival {
	rate := a.account.offered(a.at)
	a.at += time.Duration(a.rng.ExpFloat64() / rate * float64(time.Second))
	a.number++
	return arrival{at: a.at, kind: a.kind(), target: a.rng.IntN(a.targets), row: a.rng.Uint64(), number: a.number}
}

func (a *arrivals) kind() Kind {
	m := a.mix
	n := a.rng.IntN(m.Orders + m.Lookups + m.OwnReads + m.Bookings)
	for i, w := range []int{m.Orders, m.Lookups, m.OwnReads, m.Bookings} {
		if n < w {
			return kinds[i]
		}
		n -= w
	}
	return Lookup
}

// minOffered, in requests per second, keeps the time to the next arrival
// finite.
const minOffered = 1e-3

func (a *Account) offered(at time.Duration) float64 {
	rate := max(a.Offered, minOffered)
	if a.surging(at) {
		rate *= a.Surge.Factor
	}
	return rate
}

func (a *Account) surging(at time.Duration) bool {
	return a.Surge.Factor > 0 && at >= a.Surge.From && at < a.Surge.Until
}

// Package load drives proxies as the callers of client accounts do: an open
// loop of orders, lookups and bookings from a seed, on sessions that roam
// between the proxies. It measures delays and outcomes and checks what the
// callers were promised: no acknowledged order is lost or doubled, a refused
// one did not run, own writes are read back, and each answer is whole and
// belongs to its request.
package load

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Config says whom to drive and how hard.
type Config struct {
	Proxies  []string // addresses for callers
	Accounts []Account
	Targets  []Target
	Mix      Mix
	Duration time.Duration
	Seed     uint64
	// Sessions is the number of callers of each account and target.
	Sessions int
	// Timeout bounds each attempt of a request.
	Timeout time.Duration
	// InTime is the delay within which an answer is in time.
	InTime time.Duration
	// Roam is the chance that a session moves to another proxy before a
	// request.
	Roam float64
	// Retries is how often an order with an unknown outcome is sent again,
	// with the same request identifier.
	Retries int
	// Observe is told of each attempt when it has ended; it may be nil. It is
	// called by several goroutines.
	Observe func(Attempt)
}

// Attempt is one try of a request on one proxy.
type Attempt struct {
	ID       string
	Account  ident.Account
	Group    ident.Group
	Kind     Kind
	Proxy    int
	Sent     time.Time // from before anything was sent
	Ended    time.Time
	Outcome  Outcome
	Code     fault.Code
	Mistaken string // what is wrong with the answer
	Cause    string // the error as the caller saw it
}

// Account is one client account and what its callers offer.
type Account struct {
	Name    ident.Account
	Key     string
	Rate    ident.Tokens // of its quota
	Burst   ident.Tokens
	Offered float64 // requests a second over all targets
	// Surge multiplies what the account offers for a while.
	Surge Surge
}

// Surge is a time of higher load.
type Surge struct {
	From, Until time.Duration // since the start
	Factor      float64
}

// Target is one database group with the routes into it.
type Target struct {
	Group   ident.Group
	Orders  ident.Route
	Lookups ident.Route
}

// Mix gives the weights of the kinds of requests.
type Mix struct {
	Orders, Lookups, OwnReads, Bookings int
}

// DefaultMix has mostly lookups, as shops and sales reps do.
var DefaultMix = Mix{Orders: 20, Lookups: 55, OwnReads: 20, Bookings: 5}

// The values of settings that are not given.
const (
	defaultSessions = 4
	defaultTimeout  = 5 * time.Second
	defaultInTime   = 500 * time.Millisecond
	defaultRetries  = 5
)

func (c Config) checked() (Config, error) {
	if len(c.Proxies) == 0 || len(c.Accounts) == 0 || len(c.Targets) == 0 || c.Duration <= 0 {
		return c, errors.New("load needs proxies, accounts, targets and a duration")
	}
	if c.Mix == (Mix{}) {
		c.Mix = DefaultMix
	}
	if c.Sessions == 0 {
		c.Sessions = defaultSessions
	}
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.InTime == 0 {
		c.InTime = defaultInTime
	}
	if c.Retries == 0 {
		c.Retries = defaultRetries
	}
	return c, nil
}

// Package load drives proxies the way the callers of client accounts do: an
// open-loop load of orders, lookups and bookings, generated from a seed, on
// sessions that move between the proxies. It measures delays and outcomes and
// checks the guarantees given to callers: no acknowledged order is lost or
// duplicated, a refused order did not run, sessions read their own writes, and
// each answer is complete and belongs to its request.
package load

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Config describes the proxies, the accounts and the load that they offer.
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
	// Roam is the probability that a session moves to another proxy before a
	// request.
	Roam float64
	// Retries is the maximum number of times that an order with an unknown
	// outcome is sent again, with the same request identifier.
	Retries int
	// Observe is called after each attempt, by several goroutines; it may be
	// nil.
	Observe func(Attempt)
}

// Attempt is one attempt of a request on one proxy.
type Attempt struct {
	ID          string
	Account     ident.Account
	Group       ident.Group
	Kind        Kind
	Proxy       int
	Sent        time.Time // taken before anything was sent
	Ended       time.Time
	Outcome     Outcome
	Code        fault.Code
	WrongAnswer string // describes what is wrong with the answer, if anything
	Cause       string // the error as the caller saw it
}

// Account is one client account and the load that its callers offer.
type Account struct {
	Name    ident.Account
	Key     string
	Rate    ident.Tokens // of its quota
	Burst   ident.Tokens
	Offered float64 // requests per second over all targets
	// Surge multiplies the offered load for a part of the run.
	Surge Surge
}

// Surge is a period of higher load.
type Surge struct {
	From, Until time.Duration // since the start
	Factor      float64
}

// Target is one database group with its routes.
type Target struct {
	Group   ident.Group
	Orders  ident.Route
	Lookups ident.Route
}

// Mix gives the relative weights of the kinds of requests.
type Mix struct {
	Orders, Lookups, OwnReads, Bookings int
}

// DefaultMix consists mostly of lookups, as the traffic of shops and sales
// representatives does.
var DefaultMix = Mix{Orders: 20, Lookups: 55, OwnReads: 20, Bookings: 5}

// The defaults of unset fields.
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

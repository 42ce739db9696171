package group

import "github.com/cockroachdb/errors"

// ErrSealed reports a call that an endpoint refused because it has sealed a
// higher term. The refused call had no effect.
var ErrSealed = errors.New("term is sealed")

// ErrNoMajority reports that too few servers of the group answered.
var ErrNoMajority = errors.New("no majority of the group answered")

// ErrClosed reports the use of a Monitor after Close.
var ErrClosed = errors.New("monitor is closed")

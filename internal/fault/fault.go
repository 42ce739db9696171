// Package fault holds the typed errors that callers see. Each says whether the
// request ran, which SQLSTATE reports it, and when to come back. The package
// touches nothing outside itself.
package fault

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome says what is known about a request that was not answered.
type Outcome uint8

const (
	// NotRun means that no byte reached an endpoint, or that the endpoint
	// proved that it ran nothing.
	NotRun Outcome = iota + 1
	// Unknown means that the request may have taken effect.
	Unknown
	// Answered means that the endpoint gave the error as its answer.
	Answered
)

// String returns the outcome in lower case for logs and the time line.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Unknown:
		return "unknown"
	case Answered:
		return "answered"
	}
	return "invalid"
}

// Code is a SQLSTATE.
type Code string

// The codes that the system itself gives to callers.
const (
	OverLimit       Code = "53300" // rate, burst or queue is exhausted
	NoPrimary       Code = "57P03" // no primary or no endpoint can serve yet
	BadKey          Code = "28P01" // missing, wrong or withdrawn key
	NotAllowed      Code = "42501" // the account may not use the route
	ReadOnly        Code = "25006" // a write on a read-only route
	Unsupported     Code = "0A000" // a feature that is not offered
	Protocol        Code = "08P01" // malformed protocol input
	OutcomeUnknown  Code = "08007" // the request may have taken effect
	Stopping        Code = "57P01" // the instance is shutting down
	NoRoute         Code = "3D000" // no such route
	BadToken        Code = "22023" // malformed session token
	Behind          Code = "57P04" // no endpoint holds the session's own writes
	RequestMismatch Code = "22000" // a request identifier reused for other text
	Internal        Code = "XX000" // an invariant did not hold
)

// Error is a refusal or failure with its outcome. RetryIn is zero when coming
// back does not help.
type Error struct {
	Outcome Outcome
	Code    Code
	Message string
	RetryIn time.Duration
	cause   error
}

// Refuse returns an error for a request that did not run.
func Refuse(code Code, retryIn time.Duration, format string, args ...any) *Error {
	return &Error{Outcome: NotRun, Code: code, Message: fmt.Sprintf(format, args...), RetryIn: retryIn}
}

// Indeterminate returns an error for a request whose effect is not known.
func Indeterminate(cause error, format string, args ...any) *Error {
	return &Error{Outcome: Unknown, Code: OutcomeUnknown, Message: fmt.Sprintf(format, args...), cause: cause}
}

// WithCause returns a copy of e that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.cause = cause
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s, %s)", e.Message, e.Code, e.Outcome)
	if e.cause != nil {
		return text + ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// From returns the Error in err's chain. An error without one is reported as an
// unknown outcome, the only claim that is safe to make about it.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Indeterminate(err, "request failed")
}

// Package fault defines the errors that are reported to callers. Each states
// whether the request ran, its SQLSTATE and when to retry. The package has no
// side effects.
package fault

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome is what is known about the effect of a request that failed.
type Outcome uint8

const (
	// NotRun means that no byte reached an endpoint, or that the endpoint
	// proved that it did not run the request.
	NotRun Outcome = iota + 1
	// Unknown means that the request may have taken effect.
	Unknown
	// Answered means that the endpoint answered with the error.
	Answered
)

// String returns the outcome in lower case, for logs and event records.
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

// The codes that the system itself reports to callers.
const (
	OverLimit       Code = "53300" // rate, burst or wait queue is exhausted
	NoPrimary       Code = "57P03" // no primary or no endpoint can serve yet
	BadKey          Code = "28P01" // missing, wrong or revoked key
	NotAllowed      Code = "42501" // the account may not use the route
	ReadOnly        Code = "25006" // a write on a read-only route
	Unsupported     Code = "0A000" // a feature that is not supported
	Protocol        Code = "08P01" // malformed protocol input
	OutcomeUnknown  Code = "08007" // the request may have taken effect
	Stopping        Code = "57P01" // the instance is shutting down
	Cancelled       Code = "57014" // the caller cancelled the request
	NoRoute         Code = "3D000" // no such route
	BadToken        Code = "22023" // malformed session token
	Behind          Code = "57P04" // no endpoint has the session's own writes yet
	RequestMismatch Code = "22000" // a request identifier reused with a different text
	Internal        Code = "XX000" // an invariant was violated
)

// Error is an error reported to a caller, with the outcome of its request.
// RetryIn is zero if a retry does not help.
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

// Indeterminate returns an error for a request whose effect is unknown.
func Indeterminate(cause error, format string, args ...any) *Error {
	return &Error{Outcome: Unknown, Code: OutcomeUnknown, Message: fmt.Sprintf(format, args...), cause: cause}
}

// Cancel returns an error for a request that the caller cancelled and whose
// effect is unknown.
func Cancel(cause error, format string, args ...any) *Error {
	return &Error{Outcome: Unknown, Code: Cancelled, Message: fmt.Sprintf(format, args...), cause: cause}
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

// From returns the Error in err's chain. If there is none, it returns an error
// with an unknown outcome, because nothing more can be claimed safely.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Indeterminate(err, "request failed")
}

package emul

import (
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Ending is how a connection ended.
type Ending string

// The endings. The kernel resets a connection that is closed while it holds
// unread data. An orderly end therefore means that the peer had read all that
// had arrived by then.
const (
	Orderly Ending = "EOF"
	Reset   Ending = "reset"
	GaveUp  Ending = "gave up" // the caller's deadline passed
)

// ClosedError reports that a connection ended before an answer was complete.
type ClosedError struct {
	// Sent is when the last byte of the request was sent. It is zero if sending
	// failed.
	Sent    time.Time
	Ended   time.Time
	Ending  Ending
	Partial bool // part of the answer was received
	cause   error
}

func newClosedError(sent, ended time.Time, partial bool, cause error) *ClosedError {
	e := &ClosedError{Sent: sent, Ended: ended, Ending: Reset, Partial: partial, cause: cause}
	switch {
	case errors.Is(cause, io.EOF):
		e.Ending = Orderly
	case errors.Is(cause, os.ErrDeadlineExceeded):
		e.Ending = GaveUp
	}
	return e
}

// Error implements error.
func (e *ClosedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *ClosedError) Unwrap() error { return e.cause }

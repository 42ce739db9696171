package load

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
)

// Outcome is the result of a request as its caller sees it.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "notrun"  // refused with a SQLSTATE that guarantees it did not run
	Failed   Outcome = "failed"  // answered with a database error
	Unknown  Outcome = "unknown" // it may have taken effect
)

// unreachable takes the place of a SQLSTATE if no proxy accepted the
// connection.
const unreachable fault.Code = "connect"

// ConnLost takes the place of a SQLSTATE if the connection was lost.
const ConnLost fault.Code = "lost"

// notRun holds the SQLSTATEs that guarantee that nothing ran.
var notRun = map[fault.Code]bool{
	fault.OverLimit: true, fault.NoPrimary: true, fault.BadKey: true, fault.Stopping: true,
	fault.Behind: true, fault.NotAllowed: true, fault.ReadOnly: true, fault.Unsupported: true,
	fault.NoRoute: true, fault.BadToken: true, fault.RequestMismatch: true,
}

// result is an outcome with the SQLSTATE that it was derived from.
type result struct {
	outcome Outcome
	code    fault.Code
}

// connectError marks an error that occurred before the request was sent.
type connectError struct{ error }

func (e connectError) Unwrap() error { return e.error }

// classify derives the outcome of an attempt from its error.
func classify(err error) result {
	if err == nil {
		return result{outcome: Answered}
	}
	var connecting connectError
	var uncommitted uncommittedError
	var wrong *answerError
	var pg *pgconn.PgError
	switch {
	case errors.As(err, &wrong):
		return result{outcome: Answered}
	case errors.As(err, &uncommitted):
		return classifyInTx(uncommitted.error)
	case errors.As(err, &pg) && errors.As(err, &connecting):
		return result{NotRun, fault.Code(pg.Code)}
	case errors.As(err, &connecting):
		return result{NotRun, unreachable}
	case errors.As(err, &pg):
		return classifyCode(fault.Code(pg.Code))
	case pgconn.SafeToRetry(err), strings.Contains(err.Error(), notSentText):
		return result{NotRun, ConnLost}
	case errors.Is(err, pgx.ErrTxCommitRollback):
		return result{Failed, "rollback"}
	}
	return result{Unknown, ConnLost}
}

// notSentText is part of the errors that pgx returns before it sends a
// statement, when it fails to close cached statements.
const notSentText = "failed to deallocate cached statement(s)"

// classifyInTx classifies an error inside a transaction whose commit was not
// sent. Such a transaction has no effect, even if the connection was lost.
func classifyInTx(err error) result {
	res := classify(err)
	if res.outcome == Unknown {
		res.outcome = Failed
	}
	return res
}

func classifyCode(c fault.Code) result {
	switch {
	case notRun[c]:
		return result{NotRun, c}
	case c == fault.OutcomeUnknown || c == fault.Internal:
		return result{Unknown, c}
	}
	return result{Failed, c}
}

// uncommittedError marks an error that occurred before a transaction's commit
// was sent.
type uncommittedError struct{ error }

func (e uncommittedError) Unwrap() error { return e.error }

func uncommitted(err error) error { return uncommittedError{err} }

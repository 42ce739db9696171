package load

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "notrun"  // refused, by its SQLSTATE it did not run
	Failed   Outcome = "failed"  // answered with an error of the database
	Unknown  Outcome = "unknown" // it may have taken effect
)

// unreachable stands in the place of a SQLSTATE when no proxy took the
// connection.
const unreachable fault.Code = "connect"

// Lost stands in the place of a SQLSTATE when the connection broke.
const Lost fault.Code = "lost"

// notRun are the SQLSTATEs by which the system says that nothing ran.
var notRun = map[fault.Code]bool{
	fault.OverLimit: true, fault.NoPrimary: true, fault.BadKey: true, fault.Stopping: true,
	fault.Behind: true, fault.NotAllowed: true, fault.ReadOnly: true, fault.Unsupported: true,
	fault.NoRoute: true, fault.BadToken: true, fault.RequestMismatch: true,
}

// verdict is an outcome with the SQLSTATE that told it.
type verdict struct {
	outcome Outcome
	code    fault.Code
}

// connectError marks an error from before the request was sent.
type connectError struct{ error }

func (e connectError) Unwrap() error { return e.error }

func judge(err error) verdict {
	if err == nil {
		return verdict{outcome: Answered}
	}
	var before connectError
	var open unfinishedError
	var wrong *answerError
	var pg *pgconn.PgError
	switch {
	case errors.As(err, &wrong):
		return verdict{outcome: Answered}
	case errors.As(err, &open):
		return judgeOpen(open.error)
	case errors.As(err, &pg) && errors.As(err, &before):
		return verdict{NotRun, fault.Code(pg.Code)}
	case errors.As(err, &before):
		return verdict{NotRun, unreachable}
	case errors.As(err, &pg):
		return judgeCode(fault.Code(pg.Code))
	case pgconn.SafeToRetry(err), strings.Contains(err.Error(), beforeSending):
		return verdict{NotRun, Lost}
	case errors.Is(err, pgx.ErrTxCommitRollback):
		return verdict{Failed, "rollback"}
	}
	return verdict{Unknown, Lost}
}

// beforeSending is in the errors of pgx from before it sends a statement: it
// first closes statements that it no longer trusts.
const beforeSending = "failed to deallocate cached statement(s)"

// judgeOpen judges an error from inside a transaction whose commit was never
// sent: it has no effect, whatever was lost.
func judgeOpen(err error) verdict {
	v := judge(err)
	if v.outcome == Unknown {
		v.outcome = Failed
	}
	return v
}

func judgeCode(c fault.Code) verdict {
	switch {
	case notRun[c]:
		return verdict{NotRun, c}
	case c == fault.OutcomeUnknown || c == fault.Internal:
		return verdict{Unknown, c}
	}
	return verdict{Failed, c}
}

// unfinishedError marks an error from before a transaction's commit was sent:
// whatever was lost, the transaction has no effect.
type unfinishedError struct{ error }

func (e unfinishedError) Unwrap() error { return e.error }

func unfinished(err error) error { return unfinishedError{err} }

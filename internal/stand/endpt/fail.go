package endpt

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marjoramrudder/marjoramrudder/internal/fault"
)

// SQLSTATEs of PostgreSQL that the stand-in returns.
const (
	codeSyntax        fault.Code = "42601"
	codeUnsupported   fault.Code = "0A000"
	codeReadOnly      fault.Code = "25006"
	codeFailedBlock   fault.Code = "25P02"
	codeCanceled      fault.Code = "57014"
	codeTooMany       fault.Code = "53300"
	codeDuplicate     fault.Code = "23505"
	codeSerialization fault.Code = "40001"
	codeNoStatement   fault.Code = "26000"
	codeNoCursor      fault.Code = "34000"
	codeBadValue      fault.Code = "22P02"
	codeBadPassword   fault.Code = "28P01"
	codeProtocol      fault.Code = "08P01"
	codeNoSetting     fault.Code = "42704"
	codeInternal      fault.Code = "XX000"
)

// failure is an error that is sent to the caller as an ErrorResponse.
type failure struct {
	code    fault.Code
	message string
	detail  string
}

func fail(code fault.Code, format string, args ...any) *failure {
	return &failure{code: code, message: fmt.Sprintf(format, args...)}
}

func syntaxError(format string, args ...any) error { return fail(codeSyntax, format, args...) }

// Error implements error.
func (f *failure) Error() string { return fmt.Sprintf("%s (%s)", f.message, f.code) }

func response(err error) *pgproto3.ErrorResponse {
	var f *failure
	if !errors.As(err, &f) {
		f = fail(codeInternal, "%v", err)
	}
	return &pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR",
		Code: string(f.code), Message: f.message, Detail: f.detail,
	}
}

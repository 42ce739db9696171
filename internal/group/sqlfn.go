package group

import "github.com/marjoramrudder/marjoramrudder/internal/fault"

// The SQL functions that endpoints of the platform offer on every connection.
// Log positions are passed as two bigint arguments, durations as whole
// milliseconds.
const (
	// FnStatus returns one row: term, role, last_term, last_position,
	// confirmed, data_age_ms, primary_heard_ms, sealed.
	FnStatus = "marjoram.status()"
	// FnRequireData fails with CodeBehind unless the endpoint holds the log
	// position (term, position) or knows that a later term began before it,
	// and with CodeStale when the data is older than max_age_ms; 0 allows any
	// age.
	FnRequireData = "marjoram.require" // (term, position, max_age_ms)
	// FnRequirePrimary fails with CodeNotPrimary unless the endpoint is the
	// primary of exactly this term and has sealed no higher one.
	FnRequirePrimary = "marjoram.lead" // (term)
	// FnOnce records (request_id, digest) with the running transaction. It
	// fails with CodeRecorded, and the command tag in the error's detail, when
	// the identifier is already committed, and with CodeMismatch when it was
	// recorded with another digest.
	FnOnce = "marjoram.once" // (request_id, digest)
	// FnLastWrite returns one row: term, position of the connection's last
	// committed write, and the confirmed position; zeros before the first.
	FnLastWrite = "marjoram.last_write()"
	// FnSeal makes the endpoint refuse work and replication of lower terms,
	// and returns a status row.
	FnSeal = "marjoram.seal" // (term)
	// FnPromote makes an endpoint that has sealed the term its primary, and
	// returns a status row. The term starts with a log record of its own.
	FnPromote = "marjoram.promote" // (term)
	// FnFollow makes the endpoint a replica of the primary at address.
	FnFollow = "marjoram.follow" // (term, address)
)

// The SQLSTATEs that these functions fail with.
const (
	CodeBehind     fault.Code = "MR001"
	CodeStale      fault.Code = "MR002"
	CodeNotPrimary fault.Code = "MR003"
	CodeRecorded   fault.Code = "MR004"
	CodeMismatch   fault.Code = "MR005"
	CodeSealed     fault.Code = "MR006"
)

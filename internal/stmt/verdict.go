package stmt

// Sent says how far a batch got towards its endpoint.
type Sent uint8

// How far a batch got.
const (
	SentNothing  Sent = iota // no byte was written
	SentSome                 // bytes were written; the endpoint may have run them
	ProvedNotRun             // the endpoint proved that it ran nothing
)

// Loss describes an exchange that ended without the endpoint's answer.
type Loss struct {
	Sent    Sent
	Relayed bool // the caller has seen a part of the answer
	// NoEffect is true when the batch cannot have changed data: it ran on a
	// replica, or in a transaction whose commit was not sent.
	NoEffect bool
	// InTransaction is true when earlier statements of an open transaction
	// were lost with the connection.
	InTransaction bool
}

// LossOutcome says what follows from a loss.
type LossOutcome uint8

// The verdicts.
const (
	RetryElsewhere LossOutcome = iota + 1 // try another endpoint
	NotRun                                // tell the caller that nothing took effect
	Unknown                               // tell the caller that the outcome is unknown
)

// ClassifyLoss decides what follows from a loss. A statement is repeated only
// if it cannot have taken effect and the caller has seen nothing of its answer.
func ClassifyLoss(l Loss) LossOutcome {
	switch {
	case l.InTransaction && l.NoEffect:
		return NotRun
	case l.InTransaction || l.Relayed:
		return Unknown
	case l.Sent != SentSome || l.NoEffect:
		return RetryElsewhere
	}
	return Unknown
}

package stmt

// Sent is how much of a batch reached its endpoint.
type Sent uint8

// The values of Sent.
const (
	SentNothing  Sent = iota // no byte was written
	SentSome                 // bytes were written; the endpoint may have run them
	ProvedNotRun             // the endpoint proved that it did not run the batch
)

// Loss describes a batch whose answer from the endpoint was lost.
type Loss struct {
	Sent    Sent
	Relayed bool // the caller has received part of the answer
	// NoEffect is true if the batch cannot have changed data: it ran on a
	// replica, or in a transaction whose commit was not sent.
	NoEffect bool
	// InTransaction is true if earlier statements of an open transaction were
	// lost together with the connection.
	InTransaction bool
}

// LossOutcome is how to proceed after a loss.
type LossOutcome uint8

// The values of LossOutcome.
const (
	RetryElsewhere LossOutcome = iota + 1 // retry at another endpoint
	NotRun                                // report that nothing took effect
	Unknown                               // report that the outcome is unknown
)

// ClassifyLoss decides how to proceed after a loss. A statement is repeated
// only if it cannot have taken effect and the caller has received nothing of
// its answer.
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

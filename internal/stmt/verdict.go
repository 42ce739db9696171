package stmt

// Sent says how far a batch got towards its endpoint.
type Sent uint8

// How far a batch got.
const (
	Nothing Sent = iota // no byte was written
	Some                // bytes were written; the endpoint may have run them
	Proved              // the endpoint proved that it ran nothing
)

// Loss describes an exchange that ended without the endpoint's answer.
type Loss struct {
	Sent    Sent
	Relayed bool // the caller has seen a part of the answer
	// Harmless is true when the batch cannot have changed data: it ran on a
	// replica, or in a transaction whose commit was not sent.
	Harmless bool
	// InTransaction is true when earlier statements of an open transaction
	// were lost with the connection.
	InTransaction bool
}

// Verdict says what follows from a loss.
type Verdict uint8

// The verdicts.
const (
	Elsewhere Verdict = iota + 1 // try another endpoint
	NotRun                       // tell the caller that nothing took effect
	Unknown                      // tell the caller that the outcome is unknown
)

// Judge decides what follows from a loss. A statement is repeated only if it
// cannot have taken effect and the caller has seen nothing of its answer.
func Judge(l Loss) Verdict {
	switch {
	case l.InTransaction && l.Harmless:
		return NotRun
	case l.InTransaction || l.Relayed:
		return Unknown
	case l.Sent != Some || l.Harmless:
		return Elsewhere
	}
	return Unknown
}

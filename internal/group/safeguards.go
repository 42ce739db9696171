package group

// safeguards are the individual safety rules of Elector. Tests switch off one
// at a time to prove that they detect its absence.
type safeguards struct {
	// requireVotes requires that a majority of the servers has lost the
	// primary before it counts as lost.
	requireVotes bool
	// sealMajority waits for a majority of sealed servers.
	sealMajority bool
	// mostAdvanced promotes the sealed server with the highest log position.
	mostAdvanced bool
	// repointReplicas sends Follow to servers of lower terms.
	repointReplicas bool
	// skipIsolated does not promote a primary that the other servers have
	// lost.
	skipIsolated bool
	// resolveSealed starts an attempt where another instance left a sealed
	// term without a primary.
	resolveSealed bool
}

var allSafeguards = safeguards{true, true, true, true, true, true}

package group

// rules are the single safeguards of Elector. Tests switch one off at a time to
// show that its failure is noticed.
type rules struct {
	// askReplicas asks the other servers before the primary counts as lost.
	askReplicas bool
	// sealMajority waits for a majority of sealed servers.
	sealMajority bool
	// mostAdvanced promotes the sealed server with the highest mark.
	mostAdvanced bool
	// guideFollowers tells servers of lower terms to follow.
	guideFollowers bool
	// skipCutOff leaves out a primary that the others do not hear.
	skipCutOff bool
	// unstick goes on where another instance left a term sealed.
	unstick bool
}

var allRules = rules{true, true, true, true, true, true}

// Package soak injects random faults into a deployment of real processes while
// callers and operators use it, and checks the system's guarantees. The plan of
// faults is derived from a seed. The package sends signals and calls control
// interfaces; it does not start processes.
package soak

import (
	"fmt"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults.
const (
	KillEndpoint    Kind = "KillEndpoint"    // SIGKILL, which loses all of its data
	KillProxy       Kind = "KillProxy"       // SIGKILL, in the middle of transactions
	PauseEndpoint   Kind = "PauseEndpoint"   // SIGSTOP, then SIGCONT
	PauseProxy      Kind = "PauseProxy"      // SIGSTOP, then SIGCONT
	DrainProxy      Kind = "DrainProxy"      // graceful stop through the administration address
	CutPrimary      Kind = "CutPrimary"      // disconnected from its group, not from callers
	CutCallers      Kind = "CutCallers"      // callers disconnected from an endpoint
	LagReplicas     Kind = "LagReplicas"     // replicas receive records late
	SlowStatements  Kind = "SlowStatements"  // each statement takes longer
	CutAnswers      Kind = "CutAnswers"      // answers are truncated
	LoseAnswers     Kind = "LoseAnswers"     // answers are lost after a commit
	LeavingEndpoint Kind = "LeavingEndpoint" // listed as leaving, then as live again
	RefuseStore     Kind = "RefuseStore"     // the platform answers 503
	SilenceStore    Kind = "SilenceStore"    // the platform never answers
	SlowStore       Kind = "SlowStore"       // the platform answers slowly
	LoseStore       Kind = "LoseStore"       // the answers to writes are lost after they took effect
	RaceOperators   Kind = "RaceOperators"   // several operators change the document at once
	FloodAccount    Kind = "FloodAccount"    // an account offers a multiple of its rate
)

// Kinds lists every kind.
var Kinds = []Kind{
	KillEndpoint, KillProxy, PauseEndpoint, PauseProxy, DrainProxy, CutPrimary, CutCallers, LagReplicas, SlowStatements,
	CutAnswers, LoseAnswers, LeavingEndpoint, RefuseStore, SilenceStore, SlowStore, LoseStore, RaceOperators, FloodAccount,
}

// CurrentPrimary stands for the endpoint that is the primary of its group when
// the fault begins.
const CurrentPrimary = -1

// Fault is one planned fault. Fields that its kind does not use are zero.
type Fault struct {
	Kind   Kind
	At     time.Duration // since the start
	Length time.Duration
	Group  int
	Server int // index in the group, or CurrentPrimary
	Proxy  int
	// Account is the index of the account that floods.
	Account int
	Delay   time.Duration
	// Count is the number of answers or operators, a percentage, or the
	// multiple of a rate, depending on the kind.
	Count int
}

// String formats the fault on one line.
func (f Fault) String() string {
	out := fmt.Sprintf("%7.2fs +%5.2fs %-15s", f.At.Seconds(), f.Length.Seconds(), f.Kind)
	switch {
	case f.onProxy():
		return fmt.Sprintf("%s proxy %d", out, f.Proxy+1)
	case f.onEndpoint() && f.Server == CurrentPrimary:
		out = fmt.Sprintf("%s group %d primary", out, f.Group+1)
	case f.onEndpoint():
		out = fmt.Sprintf("%s group %d server %d", out, f.Group+1, f.Server+1)
	case f.Kind == FloodAccount:
		out = fmt.Sprintf("%s account %d", out, f.Account+1)
	}
	return fmt.Sprintf("%s delay %s count %d", out, f.Delay, f.Count)
}

func (f Fault) onProxy() bool {
	return f.Kind == KillProxy || f.Kind == PauseProxy || f.Kind == DrainProxy
}

func (f Fault) onStore() bool {
	switch f.Kind {
	case RefuseStore, SilenceStore, SlowStore, LoseStore:
		return true
	}
	return false
}

func (f Fault) onEndpoint() bool {
	return !f.onProxy() && !f.onStore() && f.Kind != RaceOperators && f.Kind != FloodAccount
}

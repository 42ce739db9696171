package audit

import (
	"slices"
	"strings"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// forwarded reports whether a statement has to be answered by a server.
func forwarded(text string) bool {
	word, _, _ := strings.Cut(text, " ")
	switch word {
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		return true
	}
	return false
}

// checkAnswers checks that each success carries a server's receipt for the statement,
// and the rows that go with it.
func (a *auditor) checkAnswers() {
	for i := range a.history.Attempts {
		t := &a.history.Attempts[i]
		if !t.succeeded() || t.Ended.After(a.history.At) || !forwarded(t.Text) {
			continue
		}
		answered := slices.ContainsFunc(a.steps[t.Request], func(s *Step) bool {
			return s.Code == "" && s.Receipt == t.Receipt && slices.Equal(s.Rows, t.Rows)
		})
		if !answered {
			a.report(Mixed, []string{t.Request}, "%q succeeded with receipt %s and rows %q, which no server gave for it", t.Text, t.Receipt, t.Rows)
		}
	}
}

// checkLog checks the committed writes: none twice, none after a promise that nothing
// is kept, and none lost that was acknowledged.
func (a *auditor) checkLog() {
	seen := make(map[string]bool)
	for _, e := range a.history.Log {
		t := a.attempts[e.Request]
		if t == nil {
			continue // reported with its step
		}
		if seen[e.Request] {
			a.report(Twice, []string{e.Request}, "%q took effect twice, the second time at %v", t.Text, e.Position)
		}
		seen[e.Request] = true
		if p := a.promise(t); p != nil {
			a.report(Refused, distinct([]string{e.Request, p.Request}), "%q is committed at %v, and %q of its operation was answered with %s", t.Text, e.Position, p.Text, p.Code)
		}
	}
	for _, e := range a.history.Dropped {
		a.report(Lost, []string{e.Request}, "the commit at %v of %s is missing on a later primary", e.Position, e.Group)
	}
}

// promise returns the attempt of an operation whose answer promised that nothing is
// kept, or nil.
func (a *auditor) promise(of *Attempt) *Attempt {
	for _, t := range a.operations[of.Operation] {
		if t.promised() {
			return t
		}
	}
	return nil
}

// checkReads checks that each read ran on a log with the commits that its route
// promises.
func (a *auditor) checkReads() {
	acks := a.acknowledged()
	for i := range a.history.Steps {
		s := &a.history.Steps[i]
		t := a.attempts[s.Request]
		if t == nil || s.Code != "" || !isRead(t) {
			continue
		}
		limit := t.Began
		if t.Session.Freshness != Current {
			limit = limit.Add(-a.history.MaxStaleness)
		}
		owed := []ack{acks.before(s.Group, 0, limit)}
		if t.Session.Freshness == OwnWrites {
			owed = append(owed, acks.before(s.Group, t.Session.ID, t.Began))
		}
		for _, c := range owed {
			if !holds(s.Applied, c.position) {
				a.report(Stale, distinct([]string{s.Request, c.request}), "%q read up to %v, and %v had been acknowledged %s before",
					s.Text, s.Applied, c.position, t.Began.Sub(c.at).Round(time.Millisecond))
				break
			}
		}
	}
}

func isRead(t *Attempt) bool {
	return strings.HasPrefix(t.Text, "READ ") || strings.HasPrefix(t.Shape, "READ")
}

// holds reports whether a log whose last entry is at last has the entry at p. Logs
// agree up to an entry that they share, so the last one of the log decides.
func holds(last, p ident.LogPosition) bool { return last.Term >= p.Term && last.Position >= p.Position }

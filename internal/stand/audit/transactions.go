package audit

import "strings"

// checkSteps compares each step with the attempt that it belongs to.
func (a *auditor) checkSteps() {
	holders := make(map[TxID]*Attempt) // the first attempt of each server transaction
	for i := range a.history.Steps {
		s := &a.history.Steps[i]
		if s.Request == NoRequest {
			continue
		}
		t := a.attempts[s.Request]
		if t == nil {
			a.report(Unasked, []string{s.Request}, "%s ran %q, which no caller has sent", s.Server, s.Text)
			continue
		}
		if sentText(s.Text) != sentText(t.Text) {
			a.report(Unasked, []string{s.Request}, "%s got %q, the caller sent %q", s.Server, s.Text, t.Text)
		}
		if s.Account != t.Session.Account {
			a.report(Unasked, []string{s.Request}, "%s got the statement of %s for %s", s.Server, t.Session.Account, s.Account)
		}
		a.checkSessionState(s, t)
		if s.ran() {
			a.checkTransaction(s, t, holders)
		}
	}
}

// sentText returns the text of a statement without the name of a prepared statement,
// which the proxy may change.
func sentText(text string) string {
	rest, ok := strings.CutPrefix(text, "EXECUTE ")
	if !ok {
		return text
	}
	_, arguments, _ := strings.Cut(rest, " ")
	return "EXECUTE " + arguments
}

// checkSessionState compares session values and prepared statements.
func (a *auditor) checkSessionState(s *Step, t *Attempt) {
	if s.Code == "NOSTMT" {
		a.report(Pinned, []string{s.Request}, "%s does not know the prepared statement %q of %q", s.Server, t.Shape, s.Text)
		return
	}
	if !s.ran() {
		return
	}
	if s.Values != t.Values {
		a.report(Pinned, []string{s.Request}, "%q ran with the session values %q, acknowledged were %q", s.Text, s.Values, t.Values)
	}
	if s.Shape != t.Shape {
		a.report(Pinned, []string{s.Request}, "%q ran as %q, prepared was %q", s.Text, s.Shape, t.Shape)
	}
}

// checkTransaction checks that a step ran in the transaction of its operation.
func (a *auditor) checkTransaction(s *Step, t *Attempt, holders map[TxID]*Attempt) {
	if s.Tx == 0 {
		if t.InTx {
			a.report(Pinned, []string{s.Request}, "%q ran outside its transaction", s.Text)
		}
		return
	}
	holder := holders[s.Tx]
	if holder == nil {
		holders[s.Tx] = t
		return
	}
	if holder.Operation != t.Operation {
		a.report(Pinned, []string{s.Request, holder.Request}, "%q of session %d ran in transaction %d, which %q of session %d opened",
			s.Text, t.Session.ID, s.Tx, holder.Text, holder.Session.ID)
	}
}

// checkOperations checks that each transaction stays on the connection on which its
// first statement was answered. A first read whose answer was late or lost may have run
// on others as well, after a BEGIN there: nothing of the transaction depends on it.
func (a *auditor) checkOperations() {
	for i := range a.history.Attempts {
		t := &a.history.Attempts[i]
		all := a.operations[t.Operation]
		if !t.InTx || t != all[0] {
			continue // judged with the first statement of its transaction
		}
		var first *Step
		for _, t := range all {
			if IsBegin(t.Text) {
				continue // repeated with the first statement
			}
			if first == nil {
				first = a.answeredBy(t)
				continue
			}
			for _, s := range a.steps[t.Request] {
				if s.ran() && s.Tx != 0 && s.Tx != first.Tx {
					a.report(Pinned, []string{t.Request, first.Request}, "%q ran in transaction %d, its first statement in %d", s.Text, s.Tx, first.Tx)
				}
			}
		}
	}
}

// answeredBy returns the step whose answer a caller got for a statement, or the last one
// that ran, or nil.
func (a *auditor) answeredBy(t *Attempt) *Step {
	var last *Step
	for _, s := range a.steps[t.Request] {
		if !s.ran() || s.Tx == 0 {
			continue
		}
		if t.succeeded() && s.Receipt == t.Receipt {
			return s
		}
		last = s
	}
	return last
}

// checkCommits checks that each commit was asked for by the caller who wrote.
func (a *auditor) checkCommits() {
	for i := range a.history.Steps {
		s := &a.history.Steps[i]
		for _, w := range s.Committed {
			writer := a.attempts[w.Request]
			by := a.attempts[s.Request]
			if writer == nil || by != nil && by.Operation == writer.Operation {
				continue // reported elsewhere, or right
			}
			a.report(Unasked, []string{s.Request, w.Request}, "%q committed the write of %s by session %d, which had not asked for it", s.Text, w.Item, writer.Session.ID)
		}
	}
}

package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Rule is a promise of the system. The names are those of the users' page.
type Rule string

// The rules that are judged.
const (
	Unasked Rule = "UNASKED"
	Pinned  Rule = "PINNED"
	Mixed   Rule = "MIXED"
	Twice   Rule = "TWICE"
	Refused Rule = "REFUSED"
	Stale   Rule = "STALE"
	Lost    Rule = "LOST"
	One     Rule = "ONE"
)

// LogEntry is a committed write in the log of a group's primary.
type LogEntry struct {
	Group ident.Group
	Write
}

// Promotion is an order to promote that the platform accepted.
type Promotion struct {
	Group  ident.Group
	Holder string
	Epoch  uint64
}

// History is what a run has shown.
type History struct {
	// At is when the steps were read. Answers that callers got later are not
	// judged yet.
	At time.Time
	// Steps are in the order of the servers' answers. The attempts are read after
	// them, so that the attempt of each step is there.
	Steps    []Step
	Attempts []Attempt
	// Log holds the committed writes that a later primary kept, Dropped those that
	// were acknowledged to the proxy and are missing on a later primary.
	Log        []LogEntry
	Dropped    []LogEntry
	Promotions []Promotion
	// MaxStaleness is the limit of the routes that are not Current.
	MaxStaleness time.Duration
}

// Violation is a broken rule.
type Violation struct {
	Rule     Rule
	Text     string
	Requests []string // the statements concerned
	// Fronts and Servers are those that the statements reached, Conns the
	// connections on which they ran.
	Fronts  []string
	Servers []ident.Endpoint
	Conns   []ConnID
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s (requests %s, instances %s, servers %v, connections %v)",
		v.Rule, v.Text, strings.Join(v.Requests, " "), strings.Join(v.Fronts, " "), v.Servers, v.Conns)
}

// auditor judges one history.
type auditor struct {
	history    *History
	attempts   map[string]*Attempt // by request
	steps      map[string][]*Step  // by request
	operations map[OperationID][]*Attempt
	violations []Violation
}

// Check returns the violations in a history.
func Check(h *History) []Violation {
	a := &auditor{history: h, attempts: make(map[string]*Attempt), steps: make(map[string][]*Step), operations: make(map[OperationID][]*Attempt)}
	for i := range h.Attempts {
		t := &h.Attempts[i]
		a.attempts[t.Request] = t
		a.operations[t.Operation] = append(a.operations[t.Operation], t)
	}
	for i := range h.Steps {
		s := &h.Steps[i]
		a.steps[s.Request] = append(a.steps[s.Request], s)
	}
	a.checkSteps()
	a.checkOperations()
	a.checkCommits()
	a.checkAnswers()
	a.checkLog()
	a.checkReads()
	a.checkPromotions()
	return a.violations
}

// report adds a violation that concerns the statements of the requests.
func (a *auditor) report(rule Rule, requests []string, format string, args ...any) {
	v := Violation{Rule: rule, Text: fmt.Sprintf(format, args...), Requests: requests}
	for _, r := range requests {
		if t := a.attempts[r]; t != nil {
			v.Fronts = append(v.Fronts, t.Session.Front)
		}
		for _, s := range a.steps[r] {
			if r != NoRequest {
				v.Servers, v.Conns = append(v.Servers, s.Server), append(v.Conns, s.Conn)
			}
		}
	}
	v.Fronts, v.Servers, v.Conns = distinct(v.Fronts), distinct(v.Servers), distinct(v.Conns)
	a.violations = append(a.violations, v)
}

func distinct[T cmp.Ordered](all []T) []T {
	slices.Sort(all)
	return slices.Compact(all)
}

// checkPromotions reports epochs with which two holders promoted.
func (a *auditor) checkPromotions() {
	type turn struct {
		group ident.Group
		epoch uint64
	}
	holders := make(map[turn]string)
	for _, p := range a.history.Promotions {
		t := turn{p.Group, p.Epoch}
		if holder, known := holders[t]; known && holder != p.Holder {
			a.report(One, nil, "%s and %s promoted in %s with epoch %d", holder, p.Holder, p.Group, p.Epoch)
			continue
		}
		holders[t] = p.Holder
	}
}

// Trace returns the last statements of the connections of a violation, in the order
// of their answers, most of them limit.
func (h *History) Trace(v Violation, limit int) string {
	var lines []string
	for _, c := range v.Conns {
		var of []string
		for i := range h.Steps {
			if s := &h.Steps[i]; s.Conn == c {
				of = append(of, s.String())
			}
		}
		first := max(0, h.lastOf(of, v.Requests)+1-limit)
		lines = append(lines, fmt.Sprintf("connection %d:", c))
		lines = append(lines, of[first:min(len(of), first+limit)]...)
	}
	return strings.Join(lines, "\n")
}

// lastOf returns the index of the last line that names one of the requests.
func (h *History) lastOf(lines, requests []string) int {
	for i, line := range slices.Backward(lines) {
		for _, r := range requests {
			if strings.Contains(line, " "+r+" ") {
				return i
			}
		}
	}
	return len(lines) - 1
}

// String returns the step in one line.
func (s *Step) String() string {
	result := s.Receipt
	if s.Code != "" {
		result = s.Code
	}
	return fmt.Sprintf("  %s %s/%s connection %d account %s transaction %d request %s %q values %q: %s",
		s.At.UTC().Format("15:04:05.000"), s.Group, s.Server, s.Conn, s.Account, s.Tx, s.Request, s.Text, s.Values, result)
}

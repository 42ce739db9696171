package front

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
)

// plan describes what one batch needs, as classified from the leading words of
// its statements.
type plan struct {
	executes  bool // executes at least one statement
	empty     bool // contains no statement
	write     bool // has to run at the primary
	readOnly  bool // the endpoint must refuse writes
	mayCommit bool // may end a transaction with effect
	endsTx    bool // ends a transaction
	opensTx   bool // leaves a transaction open
	request   stmt.RequestID
	digest    string
	refusal   error
}

// newPlan classifies a batch. Inside an open transaction the plan does not
// affect the choice of endpoint.
func newPlan(b *back.Batch, route *Route) plan {
	p := plan{executes: b.Executes(), readOnly: route.ReadOnly, empty: true}
	if b.Simple != nil {
		p.add(b.Simple)
	}
	for i := range b.Steps {
		s := &b.Steps[i]
		if s.Op == back.OpBind || s.Op == back.OpParse && !p.executes {
			p.add(&s.Statement.Text)
		}
		if s.Op == back.OpDescribe {
			p.empty = false
		}
	}
	if len(b.Steps) > 0 {
		p.empty = false
	}
	p.write = p.write || p.endsTx && !p.readOnly
	if p.request != "" {
		p.digest = digest(b)
	}
	return p
}

func (p *plan) add(t *stmt.Text) {
	if t.Request != "" {
		p.request = t.Request
	}
	if t.Kind != stmt.Empty {
		p.empty = false
	}
	if t.Multiple || p.endsTx && t.Kind != stmt.Empty {
		p.mayCommit = true
		p.write = true // statements after the end run in a transaction of their own
	}
	switch t.Kind {
	case stmt.Read, stmt.Empty:
	case stmt.Begin:
		p.opensTx, p.write = !t.EndsTransaction(), true
	case stmt.BeginReadOnly:
		p.opensTx = !t.EndsTransaction()
		p.readOnly = p.readOnly || !t.Multiple
	case stmt.Commit:
		p.mayCommit, p.endsTx, p.opensTx = true, true, false
	case stmt.Rollback:
		p.endsTx, p.opensTx = true, false
	case stmt.Unsupported:
		p.refusal = fault.Refuse(fault.Unsupported, 0, "the statement needs a dedicated connection, which is not supported")
	case stmt.Set:
		p.refusal = fault.Refuse(fault.Unsupported, 0, "session settings are not supported; use SET LOCAL in a transaction")
	default:
		p.write = true
	}
	if p.readOnly && p.write {
		p.refusal = fault.Refuse(fault.ReadOnly, 0, "the route is read-only")
	}
}

const digestBytes = 16

// digest returns a hash of the batch's statements and parameters. It detects
// the reuse of a request identifier for a different request.
func digest(b *back.Batch) string {
	h := sha256.New()
	if b.Simple != nil {
		_, _ = h.Write([]byte(b.Simple.SQL))
	}
	for i := range b.Steps {
		if b.Steps[i].Op == back.OpBind {
			_, _ = h.Write(b.Steps[i].Raw)
		}
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

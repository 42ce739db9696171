package front

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
)

// plan is what one batch asks for, read from the leading words of its texts.
type plan struct {
	runs     bool // executes something
	empty    bool // holds no statement at all
	write    bool // goes to the primary
	readOnly bool // the endpoint must refuse writes
	commits  bool // may end a transaction with effect
	ends     bool // ends a transaction
	opens    bool // leaves a transaction open
	request  stmt.RequestID
	digest   string
	refusal  error
}

// planOf reads a batch. Inside an open transaction the endpoint is given.
func planOf(b *back.Batch, route *Route) plan {
	p := plan{runs: b.Runs(), readOnly: route.ReadOnly, empty: true}
	if b.Simple != nil {
		p.add(b.Simple)
	}
	for i := range b.Steps {
		s := &b.Steps[i]
		if s.Op == back.OpBind || s.Op == back.OpParse && !p.runs {
			p.add(&s.Statement.Text)
		}
		if s.Op == back.OpDescribe {
			p.empty = false
		}
	}
	if len(b.Steps) > 0 {
		p.empty = false
	}
	p.write = p.write || p.ends && !p.readOnly
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
	if t.Multiple || p.ends && t.Kind != stmt.Empty {
		p.commits = true
		p.write = true // what follows an end runs in a transaction of its own
	}
	switch t.Kind {
	case stmt.Read, stmt.Empty:
	case stmt.Begin:
		p.opens, p.write = !t.EndsTransaction(), true
	case stmt.BeginRead:
		p.opens = !t.EndsTransaction()
		p.readOnly = p.readOnly || !t.Multiple
	case stmt.Commit:
		p.commits, p.ends, p.opens = true, true, false
	case stmt.Rollback:
		p.ends, p.opens = true, false
	case stmt.Unsupported:
		p.refusal = fault.Refuse(fault.Unsupported, 0, "the statement needs a connection of its own, which is not offered")
	case stmt.Set:
		p.refusal = fault.Refuse(fault.Unsupported, 0, "settings of a session are not offered; use SET LOCAL in a transaction")
	default:
		p.write = true
	}
	if p.readOnly && p.write {
		p.refusal = fault.Refuse(fault.ReadOnly, 0, "the route is read-only")
	}
}

const digestBytes = 16

// digest tells two requests of one identifier apart.
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

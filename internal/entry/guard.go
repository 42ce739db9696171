package entry

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/acct"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// retryUntrusted is when a caller should come back to an instance that may not
// honour keys.
const retryUntrusted = time.Second

// guard is a gate that honours keys only while the document may be trusted.
type guard struct {
	acct.Gate
	trusted func(now time.Time) bool
}

// Login implements acct.Gate.
func (g guard) Login(route ident.Route, account ident.Account, key string, now time.Time) (acct.Badge, error) {
	badge, err := g.Gate.Login(route, account, key, now)
	if err == nil && keyed(&badge) && !g.trusted(now) {
		return acct.Badge{}, untrusted()
	}
	return badge, err
}

// Check implements acct.Gate.
func (g guard) Check(badge *acct.Badge, now time.Time) error {
	if keyed(badge) && !g.trusted(now) {
		return untrusted()
	}
	return g.Gate.Check(badge, now)
}

func keyed(badge *acct.Badge) bool { return badge.Hash != envdoc.KeyHash("") }

func untrusted() error {
	return fault.Refuse(fault.NoPrimary, retryUntrusted, "the instance cannot tell whether keys are still in force")
}

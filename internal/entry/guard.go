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
	acct.Admitter
	trusted func(now time.Time) bool
}

// Login implements acct.Admitter.
func (g guard) Login(route ident.Route, account ident.Account, key string, now time.Time) (acct.Identity, error) {
	badge, err := g.Admitter.Login(route, account, key, now)
	if err == nil && keyed(&badge) && !g.trusted(now) {
		return acct.Identity{}, untrusted()
	}
	return badge, err
}

// Check implements acct.Admitter.
func (g guard) Check(badge *acct.Identity, now time.Time) error {
	if keyed(badge) && !g.trusted(now) {
		return untrusted()
	}
	return g.Admitter.Check(badge, now)
}

func keyed(badge *acct.Identity) bool { return badge.KeyHash != envdoc.KeyHash("") }

func untrusted() error {
	return fault.Refuse(fault.NoPrimary, retryUntrusted, "the instance cannot tell whether keys are still in force")
}

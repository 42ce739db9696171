package entry

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/acct"
	"github.com/marjoramrudder/marjoramrudder/internal/fault"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// untrustedRetry is the retry delay for callers of an instance whose document
// may be out of date.
const untrustedRetry = time.Second

// trustGuard is an admitter that accepts keys only while the document in force
// is known to be up to date.
type trustGuard struct {
	acct.Admitter
	documentTrusted func(now time.Time) bool
}

// Login implements acct.Admitter.
func (g trustGuard) Login(route ident.Route, account ident.Account, key string, now time.Time) (acct.Identity, error) {
	identity, err := g.Admitter.Login(route, account, key, now)
	if err == nil && hasKey(&identity) && !g.documentTrusted(now) {
		return acct.Identity{}, errUntrusted()
	}
	return identity, err
}

// Check implements acct.Admitter.
func (g trustGuard) Check(identity *acct.Identity, now time.Time) error {
	if hasKey(identity) && !g.documentTrusted(now) {
		return errUntrusted()
	}
	return g.Admitter.Check(identity, now)
}

func hasKey(identity *acct.Identity) bool { return identity.KeyHash != envdoc.KeyHash("") }

func errUntrusted() error {
	return fault.Refuse(fault.NoPrimary, untrustedRetry, "this instance cannot verify keys at present")
}

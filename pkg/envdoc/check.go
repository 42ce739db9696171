package envdoc

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// The limits of a document's values.
const (
	MaxEndpoints   = 9 // of one group
	MaxSlots       = 10_000
	MaxConnections = 100_000
	MaxRate        = 10_000_000 // requests a second
	MaxBurst       = 10_000_000
	MaxWeight      = 1_000
	MaxKeys        = 32 // of one account
	MaxMaxAge      = Duration(24 * time.Hour)
)

const (
	namePattern = `^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`
	nameAllowed = "1 to 63 letters, digits, dots, underscores and hyphens, a letter or digit first"
	// AddressAllowed describes the addresses that ValidAddress accepts.
	AddressAllowed = `an IP number and port such as "127.0.0.1:5432"`
)

var nameRegexp = regexp.MustCompile(namePattern)

// ValidName reports whether name is valid in a document.
func ValidName(name string) bool { return nameRegexp.MatchString(name) }

// ValidAddress reports whether text is an IP address and port of a single
// machine.
func ValidAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// reporter receives one problem.
type reporter func(field, wrong, allowed string)

// checker checks a document and tracks the values that have to be unique.
type checker struct {
	report   reporter
	seen     map[string]string // unique value to the first field that has it
	groups   map[ident.Group]bool
	accounts map[ident.Account]bool
	document *Document
}

func check(d *Document, report reporter) {
	c := &checker{
		report:   report,
		seen:     map[string]string{},
		groups:   map[ident.Group]bool{},
		accounts: map[ident.Account]bool{},
		document: d,
	}
	c.collectNames()
	c.name("Environment", string(d.Environment))
	if len(d.Groups) == 0 {
		report("Groups", "no database group", "at least one")
	}
	for i := range d.Groups {
		c.group(fmt.Sprintf("Groups[%d]", i), &d.Groups[i])
	}
	for i := range d.Routes {
		c.route(fmt.Sprintf("Routes[%d]", i), &d.Routes[i])
	}
	for i := range d.Accounts {
		c.account(fmt.Sprintf("Accounts[%d]", i), &d.Accounts[i])
	}
}

func (c *checker) collectNames() {
	for _, g := range c.document.Groups {
		c.groups[g.Name] = true
	}
	for _, a := range c.document.Accounts {
		c.accounts[a.Name] = true
	}
}

func (c *checker) name(field, name string) bool {
	if ValidName(name) {
		return true
	}
	if name == "" {
		c.report(field, "missing", nameAllowed)
		return false
	}
	c.report(field, fmt.Sprintf("%q is not a name", name), nameAllowed)
	return false
}

// unique reports a value of a kind that another field already has.
func (c *checker) unique(kind, field, value string) {
	key := kind + " " + value
	if first, ok := c.seen[key]; ok {
		c.report(field, fmt.Sprintf("duplicate %s %q, first in %s", kind, value, first), "each "+kind+" once")
		return
	}
	c.seen[key] = field
}

func (c *checker) inRange(field string, n, low, high int64) {
	if n < low || n > high {
		c.report(field, fmt.Sprintf("impossible value %d", n), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) group(field string, g *Group) {
	if c.name(field+".Name", string(g.Name)) {
		c.unique("group", field+".Name", string(g.Name))
	}
	if n := len(g.Endpoints); n%2 == 0 || n > MaxEndpoints {
		c.report(field+".Endpoints", fmt.Sprintf("%d endpoints", n), fmt.Sprintf("an odd number, at most %d", MaxEndpoints))
	}
	for i := range g.Endpoints {
		c.endpoint(fmt.Sprintf("%s.Endpoints[%d]", field, i), &g.Endpoints[i])
	}
}

func (c *checker) endpoint(field string, e *Endpoint) {
	if c.name(field+".Name", string(e.Name)) {
		c.unique("endpoint", field+".Name", string(e.Name))
	}
	if ValidAddress(e.Address) {
		c.unique("address", field+".Address", e.Address)
	} else {
		c.report(field+".Address", fmt.Sprintf("%q is not an address", e.Address), AddressAllowed)
	}
	c.name(field+".DataCentre", string(e.DataCentre))
	c.inRange(field+".Slots", int64(e.Slots), 1, MaxSlots)
	c.inRange(field+".Connections", int64(e.Connections), 1, MaxConnections)
	if e.Connections >= 1 && e.Connections < e.Slots {
		c.report(field+".Connections", fmt.Sprintf("%d connections for %d slots", e.Connections, e.Slots), "at least as many as Slots")
	}
}

func (c *checker) route(field string, r *Route) {
	if c.name(field+".Name", string(r.Name)) {
		c.unique("route", field+".Name", string(r.Name))
	}
	if !c.groups[r.Group] || r.Group == "" {
		c.report(field+".Group", fmt.Sprintf("no group %q", r.Group), "the name of a group of this document")
	}
	if r.Access != Open && r.Access != Keyed {
		c.report(field+".Access", fmt.Sprintf("unknown access %q", r.Access), "Open or Keyed")
	}
	if r.Durability != Majority && r.Durability != Primary {
		c.report(field+".Durability", fmt.Sprintf("unknown durability %q", r.Durability), "Majority or Primary")
	}
	c.maxAge(field+".MaxAge", r)
	c.routeAccounts(field+".Accounts", r)
}

func (c *checker) maxAge(field string, r *Route) {
	if r.MaxAge < 0 || r.MaxAge > MaxMaxAge {
		c.report(field, fmt.Sprintf("impossible span %s", r.MaxAge), fmt.Sprintf("0s to %s", MaxMaxAge))
		return
	}
	if r.MaxAge > 0 && !r.ReadOnly {
		c.report(field, fmt.Sprintf("old data of %s on a writing route", r.MaxAge), "MaxAge only with ReadOnly = true")
	}
}

func (c *checker) routeAccounts(field string, r *Route) {
	if r.Access == Open && len(r.Accounts) > 0 {
		c.report(field, "accounts on an open route", "accounts only with Access = \"Keyed\"")
		return
	}
	for i, a := range r.Accounts {
		element := fmt.Sprintf("%s[%d]", field, i)
		if !c.accounts[a] {
			c.report(element, fmt.Sprintf("no account %q", a), "the name of an account of this document")
			continue
		}
		c.unique("account of route "+string(r.Name), element, string(a))
	}
}

func (c *checker) account(field string, a *Account) {
	if c.name(field+".Name", string(a.Name)) {
		c.unique("account", field+".Name", string(a.Name))
	}
	c.keys(field+".Keys", a)
	c.inRange(field+".Rate", int64(a.Rate), 1, MaxRate)
	c.inRange(field+".Burst", int64(a.Burst), 1, MaxBurst)
	c.inRange(field+".Weight", int64(a.Weight), 1, MaxWeight)
}

func (c *checker) keys(field string, a *Account) {
	if len(a.Keys) > MaxKeys {
		c.report(field, fmt.Sprintf("%d keys", len(a.Keys)), fmt.Sprintf("at most %d", MaxKeys))
	}
	for i, k := range a.Keys {
		element := fmt.Sprintf("%s[%d]", field, i)
		if !k.Valid() {
			// The value may be a plaintext key, so it is not shown.
			c.report(element, "not a key hash", `"sha256:" and 64 hexadecimal digits in lower case, as "key give" prints`)
			continue
		}
		c.unique("key", element, string(k))
	}
}
